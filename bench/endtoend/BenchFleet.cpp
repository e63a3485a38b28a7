#include "endtoend/BenchFleet.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace bench {

using chiveshelf::http::Verb;

namespace {

    constexpr int hostsPerDataCentre = 2;
    constexpr const char* policyWithoutStores = "no-store";
    constexpr const char* defaultPolicy = "chiveshelf";
    // A prompt of 9,000 tokens takes 0.36 s to compute, and a runner's cache holds the blocks of 6 of the 60 conversations.
    const std::vector<std::string> runnerFlags { "--slots", "8", "--prefill-us-per-token", "40", "--token-ms", "10", "--cache-blocks", "12" };
    const std::vector<std::string> storeFlags { "--link-bytes-per-second", "40000000" };
    constexpr std::int64_t slowLinkBytesPerSecond = 4'000'000;
    constexpr auto startTimeout = std::chrono::seconds(10);

    std::string runnerName(const std::string& pool, int index)
    {
        return pool + "-" + std::to_string(index + 1);
    }

}

BenchFleet::BenchFleet(const Deployment& deployment, const std::string& policy, int network)
    : m_deployment(deployment)
    , m_hasStores(policy != policyWithoutStores)
    , m_fleet(network)
{
    m_fleet.startPlatform();
    const auto dataCentre = [&](int index) { return deployment.dataCentres[static_cast<std::size_t>(index) % deployment.dataCentres.size()]; };
    for (int i = 0; i < deployment.mainRunners; ++i)
        m_fleet.startRunner(runnerName(deployment.mainPool, i), dataCentre(i), runnerFlags);
    for (int i = 0; i < deployment.deskRunners; ++i)
        m_fleet.startRunner(runnerName(deployment.deskPool, i), dataCentre(i), runnerFlags);
    if (m_hasStores) {
        for (std::size_t i = 0; i < deployment.stores.size(); ++i)
            m_fleet.startStore(deployment.stores[i], dataCentre(static_cast<int>(i)), storeFlags);
    }
    const bool usesFairShare = policy == policyWithoutStores || policy == defaultPolicy;
    const std::vector<std::string> hostFlags { "--scheduling-policy", usesFairShare ? "fair-share" : policy, "--log-level", "warning" };
    for (const auto& name : deployment.dataCentres) {
        for (int i = 0; i < hostsPerDataCentre; ++i)
            m_fleet.startHost(name + "-" + std::to_string(i + 1), name, hostFlags);
    }
    m_fleet.writeHostList();
    m_tables = makeTables();
    if (m_fleet.applyTables(m_tables) != 0 || !m_fleet.waitForRevision(1, startTimeout))
        throw std::runtime_error("tables were not applied on every host within 10 s");
}

chiveshelf::Tables BenchFleet::makeTables() const
{
    chiveshelf::Tables tables;
    const auto addPool = [&](const std::string& name, int runners) {
        chiveshelf::Pool pool;
        pool.name = name;
        pool.model = name;
        pool.version = "v1";
        pool.slotsPerRunner = 8;
        for (int i = 0; i < runners; ++i)
            pool.runners.push_back(m_fleet.backendRow(runnerName(name, i)));
        if (m_hasStores) {
            for (const auto& store : m_deployment.stores)
                pool.stores.push_back({ store, m_fleet.store(store), m_deployment.dataCentres.front() });
        }
        tables.pools.push_back(pool);
        tables.routes.push_back({ name, "*", name, "", name, chiveshelf::Priority::Standard, std::nullopt, 1 });
    };
    addPool(m_deployment.mainPool, m_deployment.mainRunners);
    addPool(m_deployment.deskPool, m_deployment.deskRunners);
    return tables;
}

std::vector<std::vector<chiveshelf::Address>> BenchFleet::callerAddresses() const
{
    std::vector<std::vector<chiveshelf::Address>> out;
    for (const auto& dataCentre : m_deployment.dataCentres) {
        out.emplace_back();
        for (const auto& [name, host] : m_fleet.hosts()) {
            if (host.dataCentre == dataCentre)
                out.back().push_back(host.caller);
        }
    }
    return out;
}

void BenchFleet::disturb(Disturbance disturbance)
{
    switch (disturbance) {
    case Disturbance::None:
        return;
    case Disturbance::StoreLost:
        if (m_hasStores)
            m_fleet.process(m_deployment.stores.front()).kill();
        return;
    case Disturbance::SlowLink:
        if (m_hasStores) {
            const nlohmann::json body { { "link_bytes_per_second", slowLinkBytesPerSecond } };
            for (const auto& store : m_deployment.stores)
                support::call(m_fleet.store(store), Verb::put, "/control/faults", {}, body.dump());
        }
        return;
    case Disturbance::HostKilled:
        m_fleet.process(m_deployment.dataCentres.front() + "-1").kill();
        return;
    case Disturbance::WeightSwap:
        for (auto& pool : m_tables.pools)
            pool.version = "v2";
        m_fleet.applyTables(m_tables);
        return;
    }
}

std::int64_t BenchFleet::linkBytes() const
{
    std::int64_t bytes = 0;
    if (!m_hasStores)
        return bytes;
    for (const auto& store : m_deployment.stores) {
        const auto stats = nlohmann::json::parse(support::call(m_fleet.store(store), Verb::get, "/control/stats").body, nullptr, false);
        if (stats.is_object())
            bytes += stats.value("put_bytes", std::int64_t { 0 }) + stats.value("get_bytes", std::int64_t { 0 });
    }
    return bytes;
}

std::vector<int> BenchFleet::hostProcessIds()
{
    std::vector<int> ids;
    for (const auto& [name, host] : m_fleet.hosts())
        ids.push_back(m_fleet.process(name).id());
    return ids;
}

}

#include "Fleet.h"

#include "chiveshelf/tables/TablesJson.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace support {

using chiveshelf::Address;
using chiveshelf::http::Verb;

namespace {

    constexpr std::uint16_t callerPort = 8080;
    constexpr std::uint16_t adminPort = 9090;
    constexpr std::uint16_t peerPort = 7070;
    constexpr std::uint16_t platformPort = 2380;
    constexpr std::uint16_t backendPort = 8000;
    constexpr auto startLimit = std::chrono::seconds(10);
    constexpr int defaultNetwork = 10;

    int networkFromEnvironment()
    {
        const char* network = std::getenv("CHIVESHELF_TEST_NETWORK");
        return network ? std::atoi(network) : defaultNetwork;
    }

}

Fleet::Fleet()
    : Fleet(networkFromEnvironment())
{
}

Fleet::Fleet(int network)
    : m_network(network)
{
    m_folder = (std::filesystem::temp_directory_path() / ("chiveshelf-test-" + std::to_string(m_network))).string();
    std::filesystem::create_directories(m_folder);
}

Fleet::~Fleet() = default;

std::string Fleet::logPath(const std::string& name) const
{
    return m_folder + "/" + name + ".log";
}

Address Fleet::platform() const
{
    return { "127." + std::to_string(m_network) + ".0.1", platformPort };
}

Address Fleet::secondPlatform() const
{
    return { "127." + std::to_string(m_network) + ".0.2", platformPort };
}

void Fleet::setPlatformFaults(const Address& listener, const nlohmann::json& faults)
{
    call(listener, Verb::put, "/control/faults", {}, faults.dump());
}

int Fleet::runCtl(std::vector<std::string> arguments, std::string& output) const
{
    arguments.insert(arguments.end(), { "--platform", toString(platform()) });
    return runToEnd("chivesctl", arguments, output);
}

Address Fleet::nextAddress(std::uint16_t port)
{
    return { "127." + std::to_string(m_network) + ".1." + std::to_string(m_nextHost++), port };
}

void Fleet::waitForPort(const Address& address, const std::string& path)
{
    if (!eventually([&] { return call(address, Verb::get, path).status != 0; }, startLimit))
        throw std::runtime_error("nothing answers at " + toString(address));
}

void Fleet::startPlatform()
{
    m_processes["platform"] = std::make_unique<ChildProcess>("fake_key_value", std::vector<std::string> { "--listen", toString(platform()), "--second-listen", toString(secondPlatform()) }, logPath("platform"));
    waitForPort(platform(), "/control/stats");
}

void Fleet::startRunner(const std::string& name, const std::string& dataCentre, const std::vector<std::string>& extra)
{
    if (!m_backends.contains(name))
        m_backends[name] = { name, nextAddress(backendPort), dataCentre };
    const auto& address = m_backends[name].address;
    std::vector<std::string> arguments { "--listen", toString(address) };
    arguments.insert(arguments.end(), extra.begin(), extra.end());
    m_processes[name] = std::make_unique<ChildProcess>("fake_runner", arguments, logPath(name));
    waitForPort(address, "/v1/load");
}

void Fleet::startService(const std::string& name, const std::string& dataCentre)
{
    if (!m_backends.contains(name))
        m_backends[name] = { name, nextAddress(backendPort), dataCentre };
    m_isService[name] = true;
    const auto& address = m_backends[name].address;
    m_processes[name] = std::make_unique<ChildProcess>("fake_service", std::vector<std::string> { "--listen", toString(address) }, logPath(name));
    waitForPort(address, "/control/runs");
}

void Fleet::startHost(const std::string& name, const std::string& dataCentre, const std::vector<std::string>& extra)
{
    if (!m_hosts.contains(name)) {
        const auto address = nextAddress(callerPort);
        m_hosts[name] = { name, dataCentre, address, { address.ip, adminPort }, { address.ip, peerPort } };
    }
    const auto& host = m_hosts[name];
    std::vector<std::string> arguments { "--host-name", name, "--data-centre", dataCentre, "--listen", toString(host.caller),
        "--admin-listen", toString(host.admin), "--peer-listen", toString(host.peer), "--platform", toString(platform()) };
    arguments.insert(arguments.end(), extra.begin(), extra.end());
    m_processes[name] = std::make_unique<ChildProcess>("chiveshelfd", arguments, logPath(name));
    waitForPort(host.admin, "/healthz");
}

void Fleet::listHosts()
{
    auto list = nlohmann::json::array();
    for (const auto& [name, host] : m_hosts)
        list.push_back({ { "name", name }, { "address", toString(host.peer) }, { "admin_address", toString(host.admin) }, { "data_centre", host.dataCentre }, { "leaving", false } });
    call(platform(), Verb::put, "/control/hosts", {}, list.dump());
}

chiveshelf::Tables Fleet::defaultTables() const
{
    chiveshelf::Tables tables;
    chiveshelf::Pool desk;
    desk.name = "desk";
    desk.model = "desk-model";
    desk.version = "v1";
    desk.targets = { std::chrono::seconds(5), std::chrono::seconds(10), std::chrono::seconds(30) };
    chiveshelf::Pool bookings;
    bookings.name = "bookings";
    bookings.kind = chiveshelf::PoolKind::Service;
    for (const auto& [name, backend] : m_backends)
        (m_isService.contains(name) ? bookings : desk).runners.push_back(backend);
    if (!desk.runners.empty()) {
        tables.pools.push_back(desk);
        tables.routes.push_back({ "desk", "*", "desk-model", "", "desk", chiveshelf::Priority::Standard, std::nullopt, 1 });
    }
    if (!bookings.runners.empty()) {
        tables.pools.push_back(bookings);
        tables.routes.push_back({ "bookings", "*", "", "/bookings", "bookings", chiveshelf::Priority::Standard, std::nullopt, 1 });
    }
    return tables;
}

int Fleet::applyTables(const chiveshelf::Tables& tables)
{
    const auto path = m_folder + "/tables.json";
    std::ofstream(path) << formatTables(tables);
    std::string output;
    return runToEnd("chivesctl", { "apply", path, "--platform", toString(platform()) }, output);
}

bool Fleet::waitForRevision(std::uint64_t revision, std::chrono::milliseconds limit)
{
    return eventually(
        [&] {
            for (const auto& [name, host] : m_hosts) {
                const auto state = nlohmann::json::parse(call(host.admin, Verb::get, "/state").body, nullptr, false);
                if (!state.is_object() || state.value("tables_revision", std::uint64_t { 0 }) < revision)
                    return false;
            }
            return true;
        },
        limit);
}

}

#include "chiveshelf/gateway/ServingState.h"

#include "chiveshelf/core/Hash.h"
#include "chiveshelf/core/Log.h"

#include <algorithm>

namespace chiveshelf {

namespace {

    // A request that crashed runners is remembered for longer than callers go on sending it, and as many as fit into 1 MB.
    constexpr std::chrono::minutes crashLifetime { 2 };
    constexpr std::size_t crashCapacity = 4'096;
    // Share of the time for a version in which older weights are still used. The rest covers the time between the naming and
    // this host's learning of it, and a request's wait in its runner's queue: it counts from its begin there.
    constexpr double versionGraceShare = 0.7;
    // Rest of that time that a process assumes when it starts: other hosts tell it the age within a second.
    constexpr std::chrono::milliseconds guessedRest { 2'500 };

}

ServingState::ServingState(const GatewaySettings& settings)
    : m_settings(settings)
    , m_crashes(crashLifetime, crashCapacity)
    , m_engine(hash64(settings.hostName + makeUniqueId()))
{
}

bool ServingState::acceptTables(RoutingTables tables, std::string text, std::string_view source)
{
    if (m_routes && tables.version <= m_routes->tables().version)
        return false;
    const auto version = tables.version;
    m_routes = std::make_shared<const RouteIndex>(std::move(tables));
    m_tablesText = std::move(text);
    logEvent(LogLevel::Info, "tables_in_force", { { "version", version }, { "source", source }, { "routes", m_routes->tables().routes.size() }, { "organisations", m_routes->tables().organisations.size() } });
    updateCacheStores();
    refreshRunners();
    return true;
}

void ServingState::updateCacheStores()
{
    CacheStores stores;
    for (const auto& pool : m_routes->tables().pools) {
        if (!pool.store)
            continue;
        const auto it = std::find_if(m_cacheStores.begin(), m_cacheStores.end(), [&](const auto& known) { return known->store() == *pool.store; });
        stores.push_back(it != m_cacheStores.end() ? *it : std::make_shared<CacheContents>(*pool.store));
    }
    m_cacheStores = std::move(stores);
}

std::shared_ptr<CacheContents> ServingState::findStore(std::uint32_t number) const
{
    const auto it = std::find_if(m_cacheStores.begin(), m_cacheStores.end(), [&](const auto& store) { return store->number() == number; });
    return it == m_cacheStores.end() ? nullptr : *it;
}

bool ServingState::isObsolete(const CacheScope& scope) const
{
    if (scope.version >= newestVersion(scope.model))
        return false;
    return std::all_of(m_board.all().begin(), m_board.all().end(), [&](const auto& entry) {
        const auto version = entry.second->version(scope.model);
        return !version || *version > scope.version;
    });
}

void ServingState::acceptTarget(const ModelTarget& target, std::chrono::nanoseconds bootNow)
{
    const auto newsSince = m_contact.earliestChangeTime(bootNow);
    // A process that has just started can not know the age. It goes on using older weights for a while, in which it hears of it.
    const auto named = m_contact.hasAnswered() ? AnnouncedVersion { newsSince, newsSince != bootNow }
                                               : AnnouncedVersion { bootNow - versionGrace() + guessedRest, true };
    if (!m_versions[target.model].add(target.version, named))
        return;
    logEvent(LogLevel::Info, "version_named", { { "model", target.model }, { "version", target.version }, { "age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(bootNow - named.since).count() } });
}

void ServingState::acceptTargetAge(std::uint64_t modelHash, std::uint64_t version, std::chrono::milliseconds age, std::chrono::nanoseconds bootNow)
{
    for (auto& [model, history] : m_versions) {
        if (hash64(model) == modelHash)
            history.acceptSince(version, bootNow - age);
    }
}

std::chrono::milliseconds ServingState::versionGrace() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.versionLimit * versionGraceShare);
}

void ServingState::refreshRunners()
{
    m_board.update(m_registry.records(), [this](const std::string& pool) -> std::int64_t {
        const auto* row = m_routes ? m_routes->findPool(pool) : nullptr;
        return row && row->engine ? row->engine->memoryTokens : 0;
    });
}

std::uint64_t ServingState::newestVersion(const std::string& model) const
{
    const auto it = m_versions.find(model);
    return it == m_versions.end() ? 0 : it->second.newest();
}

std::uint64_t ServingState::requiredVersion(const std::string& model, std::chrono::nanoseconds bootNow) const
{
    const auto it = m_versions.find(model);
    return it == m_versions.end() ? 0 : it->second.required(bootNow, versionGrace());
}

std::optional<std::chrono::nanoseconds> ServingState::weightsEnd(const std::string& model, std::uint64_t version) const
{
    const auto it = m_versions.find(model);
    return it == m_versions.end() ? std::nullopt : it->second.expiryOf(version, m_settings.versionLimit);
}

bool ServingState::isLikelyRetry(const std::string& route, std::optional<std::chrono::milliseconds> timeLeft, std::chrono::milliseconds goal)
{
    if (!timeLeft)
        return false;
    auto& longest = m_longestTimes[route];
    longest = std::max(longest, *timeLeft);
    return longest - *timeLeft > goal;
}

PoolPolicies& ServingState::policies(const std::string& pool)
{
    const auto it = m_policies.find(pool);
    if (it != m_policies.end())
        return it->second;
    const auto* row = m_routes ? m_routes->findPool(pool) : nullptr;
    PoolPolicies policies { std::nullopt, {}, FleetRetryBudget(m_settings.retryShare, m_settings.retryReserve, m_settings.retryWindow) };
    if (row && row->engine) {
        policies.engine.emplace(*row->engine, m_settings.mechanisms);
    }
    return m_policies.emplace(pool, std::move(policies)).first->second;
}

}

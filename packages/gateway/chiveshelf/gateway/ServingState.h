#pragma once

#include "chiveshelf/gateway/GatewaySettings.h"
#include "chiveshelf/placement/ContactHistory.h"
#include "chiveshelf/placement/EnginePlacement.h"
#include "chiveshelf/placement/FleetRetryBudget.h"
#include "chiveshelf/placement/RunnerClock.h"
#include "chiveshelf/placement/RunnerRegistry.h"
#include "chiveshelf/placement/ServicePlacement.h"
#include "chiveshelf/placement/VersionHistory.h"
#include "chiveshelf/routing/RouteIndex.h"
#include "chiveshelf/scheduling/CrashRegistry.h"

#include <memory>
#include <random>

namespace chiveshelf {

// The decisions of one pool.
struct PoolPolicies {
    std::optional<EnginePlacement> engine;
    ServicePlacement service;
    FleetRetryBudget retries;
};

// What this host knows and believes, and the decisions that work on it. Owned by the one thread of the process. Whatever the
// source, tables and named versions only ever move forward.
class ServingState {
public:
    explicit ServingState(const GatewaySettings&);

    // Takes tables if their version is higher than the present one, and returns whether it was.
    bool acceptTables(RoutingTables, std::string text, std::string_view source);

    // Takes a named version if it is higher than the known one.
    void acceptTarget(const ModelTarget&, std::chrono::nanoseconds bootNow);

    // Takes what another host knows of the age of a version that this host knows too.
    void acceptTargetAge(std::uint64_t modelHash, std::uint64_t version, std::chrono::milliseconds age, std::chrono::nanoseconds bootNow);

    // What is known of gaps in the contact to the store.
    ContactHistory& contact() { return m_contact; }

    // Changes to the registry take effect with refreshRunners().
    RunnerRegistry& registry() { return m_registry; }
    void refreshRunners();

    // The tables in force, or nullptr before the first were read.
    const std::shared_ptr<const RouteIndex>& routes() const { return m_routes; }
    const std::string& tablesText() const { return m_tablesText; }
    std::uint64_t tablesVersion() const { return m_routes ? m_routes->tables().version : 0; }

    BackendDirectory& board() { return m_board; }
    const BackendDirectory& board() const { return m_board; }
    // The named versions by model.
    const std::map<std::string, VersionHistory>& versions() const { return m_versions; }

    // Returns the newest version that was named of a model, 0 if there is none, and the oldest that may be used now.
    std::uint64_t newestVersion(const std::string& model) const;
    std::uint64_t requiredVersion(const std::string& model, std::chrono::nanoseconds bootNow) const;

    // Returns when requests may no longer begin on weights of this version, by bootTime(), or nothing while none newer is named.
    std::optional<std::chrono::nanoseconds> weightsEnd(const std::string& model, std::uint64_t version) const;

    PoolPolicies& policies(const std::string& pool);

    // The stores of cached parts that the tables name.
    const CacheStores& cacheStores() const { return m_cacheStores; }

    // Returns the store by its number, which other hosts send, or nullptr.
    std::shared_ptr<CacheContents> findStore(std::uint32_t number) const;

    RunnerClock& runnerClock() { return m_runnerClock; }

    // Whether no runner that serves uses the weights of a scope any more, and none will.
    bool isObsolete(const CacheScope&) const;
    CrashRegistry& crashes() { return m_crashes; }

    // Whether a caller has less time left than fresh ones of the route, by more than the goal: it was refused before and comes
    // again. Learns the time of fresh ones from the longest seen.
    bool isLikelyRetry(const std::string& route, std::optional<std::chrono::milliseconds> timeLeft, std::chrono::milliseconds goal);

    // A number from 0 to 1 for spreading.
    double random() { return std::uniform_real_distribution<double>(0, 1)(m_engine); }

private:
    void updateCacheStores();
    std::chrono::milliseconds versionGrace() const;

    const GatewaySettings& m_settings;
    std::shared_ptr<const RouteIndex> m_routes;
    std::string m_tablesText;
    ContactHistory m_contact;
    RunnerRegistry m_registry;
    BackendDirectory m_board;
    std::map<std::string, VersionHistory> m_versions;
    std::map<std::string, PoolPolicies> m_policies;
    CacheStores m_cacheStores;
    RunnerClock m_runnerClock;
    CrashRegistry m_crashes;
    std::map<std::string, std::chrono::milliseconds> m_longestTimes;
    std::mt19937_64 m_engine;
};

}

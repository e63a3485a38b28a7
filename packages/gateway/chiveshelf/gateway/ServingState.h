#pragma once

#include "chiveshelf/gateway/GatewaySettings.h"
#include "chiveshelf/gateway/TablesHistory.h"
#include "chiveshelf/keyvalue/StorePosition.h"
#include "chiveshelf/placement/CacheRetention.h"
#include "chiveshelf/placement/ContactHistory.h"
#include "chiveshelf/placement/CrashEvidence.h"
#include "chiveshelf/placement/EnginePlacement.h"
#include "chiveshelf/placement/FleetRetryBudget.h"
#include "chiveshelf/placement/ReturnSchedule.h"
#include "chiveshelf/placement/RunnerClock.h"
#include "chiveshelf/placement/RunnerRegistry.h"
#include "chiveshelf/placement/ServicePlacement.h"
#include "chiveshelf/placement/SoftwareHistory.h"
#include "chiveshelf/placement/StreamOrigins.h"
#include "chiveshelf/placement/VersionHistory.h"
#include "chiveshelf/routing/RouteIndex.h"

#include <functional>
#include <memory>
#include <random>
#include <set>

namespace chiveshelf {

// Placement policies, retry budget and schedule of refused callers of one pool.
struct PoolPolicies {
    std::optional<EnginePlacement> engine;
    ServicePlacement service;
    FleetRetryBudget retries;
    ReturnSchedule returns;
};

// How tables reached this host, for the log.
struct TablesArrival {
    // "store" (with other items), "item" (the single item of the store), "update" or "whole" (both from another host).
    std::string_view way;
    // Size of the text or the encoded update.
    std::size_t bytes = 0;
    // Time that decoding took.
    std::chrono::milliseconds decodeTime { 0 };
    // Time since this host first learned of tables newer than its own.
    std::chrono::milliseconds sinceNews { 0 };
};

// The newest announced versions of all models at a time of the runners' clock, as a host tells others.
struct VersionsConfirmation {
    // Identifies the models and their newest versions.
    std::uint64_t versionsHash = 0;
    // Time of the runners' clock in ms, 0 if nothing is confirmed.
    std::int64_t clockMs = 0;

    auto operator<=>(const VersionsConfirmation&) const = default;
};

// How an announced version reaches this host.
enum class VersionDelivery {
    // As one of all changes of the key-value store.
    EachChange,
    // As an item of a full read, which tells only the newest version of a model.
    NewestOnly,
};

// This host's view of tables, runners, versions and stores, and the policies that use it. Used only by the single thread of the
// process. Tables and announced versions are only replaced by newer ones, whichever source they come from.
class ServingState {
public:
    explicit ServingState(const GatewaySettings&);

    // Sets a function to be called after newer tables came into force.
    void setTablesHandler(std::function<void()> handler) { m_tablesHandler = std::move(handler); }

    // Applies tables if their version is higher than the current one, and returns whether it is.
    bool acceptTables(RoutingTables, const TablesArrival&);

    // Adds a version of a model that the operator announced, if it is higher than the newest known one.
    void acceptVersion(const ModelTarget&, std::chrono::nanoseconds bootNow, VersionDelivery = VersionDelivery::EachChange);

    // Sets the announcement time of a version from the age that another host reports, if the known time is missing, an estimate or
    // later. Ignores versions newer than the newest known one.
    void acceptVersionAge(std::uint64_t modelHash, std::uint64_t version, std::chrono::milliseconds age, std::chrono::nanoseconds bootNow);

    // Records a confirmation of the known versions at `at`, a time of bootTime(); see CacheRetention. For an answer of the store, that is
    // the time at which its call was sent; to be called after the answer's changes were applied.
    void confirmVersions(std::chrono::nanoseconds at);
    // Returns the age of the latest confirmation, or nothing if there is none.
    std::optional<std::chrono::milliseconds> confirmationAge(std::chrono::nanoseconds bootNow) const;
    // Applies what another host has confirmed. Ignored if that host knows other versions.
    void acceptConfirmation(const VersionsConfirmation&);
    VersionsConfirmation versionsConfirmation() const { return { m_versionsHash, m_cacheRetention.confirmedAt().value_or(0) }; }

    // Returns the time in ms of the runners' clock at which fetches of a version's parts from stores must be over, or nothing if they
    // may not begin.
    std::optional<std::int64_t> storeFetchEnd(const std::string& model, std::uint64_t version, std::chrono::nanoseconds bootNow) const;
    // Returns the time until then, 0 if no fetch may begin.
    std::chrono::milliseconds storeFetchTime(const std::string& model, std::uint64_t version, std::chrono::nanoseconds bootNow) const;
    // Logs when fetches from stores of the newest weights become impossible or possible, because this host lacks news of versions or
    // has them again. To be called several times a second.
    void checkStoreFetches(std::chrono::nanoseconds bootNow);

    // Sets whether the operator has ordered that the runners of a data centre get no requests. Takes effect with refreshRunners().
    void setEvacuated(const std::string& dataCentre, bool isEvacuated);
    // Replaces all such orders by those that the store lists.
    void setEvacuatedDataCentres(std::set<std::string>);
    const std::set<std::string>& evacuatedDataCentres() const { return m_evacuatedDataCentres; }

    // Gaps in this host's contact with the key-value store. A version received after a gap may have been announced during it.
    ContactHistory& contactHistory() { return m_contactHistory; }

    // Changes to the registry take effect with refreshRunners().
    RunnerRegistry& registry() { return m_registry; }
    void refreshRunners();

    // The current tables, or nullptr before the first ones were read.
    const std::shared_ptr<const RouteIndex>& routes() const { return m_routes; }
    // The current tables and the last ones before them.
    const TablesHistory& tablesHistory() const { return m_tablesHistory; }
    // Number of tables that came into force, by the way that they took.
    const std::map<std::string, std::uint64_t>& tablesArrivals() const { return m_tablesArrivals; }
    std::uint64_t tablesVersion() const { return m_routes ? m_routes->tables().version : 0; }

    BackendDirectory& backendDirectory() { return m_backendDirectory; }
    const BackendDirectory& backendDirectory() const { return m_backendDirectory; }
    // The announced versions by model.
    const std::map<std::string, VersionHistory>& versions() const { return m_versions; }

    // Origins of streams that may still be resumed, and the software versions that served lately.
    StreamOrigins& streamOrigins() { return m_streamOrigins; }
    std::size_t streamOriginCount() const { return m_streamOrigins.size(); }
    SoftwareHistory& softwareHistory() { return m_softwareHistory; }
    // Records the registered runners in the software history. To be called at least every few seconds.
    void observeSoftware();
    // Returns the only software version at which a stream of this pool that is still alive can have begun, or nothing.
    std::optional<std::string> onlySoftwareVersion(const std::string& pool) const;
    // Whether several software versions of a pool have served lately, as far as this host knows.
    bool hasSeveralSoftwareVersions(const std::string& pool) const;
    // Sets the era of the store whose items this host knows.
    void setStoreEra(StoreEra era) { m_storeEra = era; }

    // Returns the newest announced version of a model, or 0 if there is none.
    std::uint64_t newestVersion(const std::string& model) const;
    // Returns the oldest version of a model that new requests may use at `bootNow`, or 0 if none was announced.
    std::uint64_t requiredVersion(const std::string& model, std::chrono::nanoseconds bootNow) const;

    // Returns the bootTime() from which requests must not start on weights of this version, or nothing while it is the newest.
    std::optional<std::chrono::nanoseconds> weightsExpiry(const std::string& model, std::uint64_t version) const;

    // Returns the policies of a pool. New tables may replace the engine's, so references to it must not be kept over a wait.
    PoolPolicies& policies(const std::string& pool);

    // The stores of cached parts that the tables list.
    const CacheStores& cacheStores() const { return m_cacheStores; }

    // Returns the store with this CacheContents::number(), or nullptr.
    std::shared_ptr<CacheContents> findStore(std::uint32_t number) const;

    RunnerClock& runnerClock() { return m_runnerClock; }

    // Whether parts of the scope may be freed at `bootNow`: no host can allow fetches of them any more, and none of the runners that
    // this host knows uses the scope's version or an older one. The second alone would not do, since other hosts know other runners.
    bool isObsolete(const CacheScope&, std::chrono::nanoseconds bootNow) const;
    CrashEvidence& crashEvidence() { return m_crashEvidence; }

    // Whether a request is probably the retry of a refused one: its time left is shorter than the longest time seen on its route
    // by more than the latency goal. Records the time left.
    bool isLikelyRetry(const std::string& route, std::optional<std::chrono::milliseconds> timeLeft, std::chrono::milliseconds goal);

    // Returns a random number in [0, 1), used to spread load over runners and delays.
    double random() { return std::uniform_real_distribution<double>(0, 1)(m_engine); }

private:
    void updateCacheStores();
    // Applies the engine limits of the tables to the policies that exist already.
    void updatePolicies();
    PoolPolicies makePolicies(const std::optional<EngineLimits>&) const;
    // Sets how long a stream can last with all its resumptions, by the tables.
    void updateStreamLifetime();
    std::chrono::milliseconds versionGrace() const;
    // Returns when a version that is received now can have been announced.
    AnnouncedVersion dateVersion(std::chrono::nanoseconds bootNow, VersionDelivery) const;
    // Returns the bound of requests to a pool's runners while they warm up, if the settings ask for one.
    std::optional<WarmUpBound> warmUpBound(const std::string& pool) const;

    const GatewaySettings& m_settings;
    std::function<void()> m_tablesHandler;
    std::shared_ptr<const RouteIndex> m_routes;
    TablesHistory m_tablesHistory;
    std::map<std::string, std::uint64_t> m_tablesArrivals;
    ContactHistory m_contactHistory;
    RunnerRegistry m_registry;
    BackendDirectory m_backendDirectory;
    std::map<std::string, VersionHistory> m_versions;
    std::uint64_t m_versionsHash = 0;
    CacheRetention m_cacheRetention;
    bool m_mayFetchFromStores = false;
    std::set<std::string> m_evacuatedDataCentres;
    std::map<std::string, PoolPolicies> m_policies;
    CacheStores m_cacheStores;
    RunnerClock m_runnerClock;
    CrashEvidence m_crashEvidence;
    StreamOrigins m_streamOrigins;
    SoftwareHistory m_softwareHistory;
    StoreEra m_storeEra = 0;
    std::map<std::string, std::chrono::milliseconds> m_longestTimesLeft;
    std::mt19937_64 m_engine;
};

}

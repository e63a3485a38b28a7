#include "chiveshelf/gateway/ServingState.h"

#include "chiveshelf/core/Hash.h"
#include "chiveshelf/core/Log.h"

#include <algorithm>

namespace chiveshelf {

namespace {

    // Longer than callers keep retrying a request that crashes runners.
    constexpr std::chrono::minutes crashLifetime { 2 };
    // Several times the duration of a long response.
    constexpr std::chrono::seconds answerLifetime { 30 };
    // Share of the time limit for a version in which older weights may still be used. The rest covers the delay until this host
    // learns of the version and a request's wait in its runner's queue, as the limit applies to the request's start at the runner.
    constexpr double versionGraceShare = 0.7;
    // Remaining time for older weights that a newly started process assumes. Other hosts report the version's age within a second.
    constexpr std::chrono::milliseconds assumedRemainingTime { 2'500 };
    // A stream and all its resumptions last at most as long as their caller waits, which is taken for up to twice the time limit of the
    // route. The rest covers clocks that were stopped and entries that are removed late.
    constexpr int streamLifetimeLimits = 2;
    constexpr std::chrono::milliseconds streamLifetimeMargin { 5'000 };
    constexpr std::chrono::milliseconds defaultStreamLifetime { 30'000 };
    // Intervals of renewal after which the store removes the entry of a silent runner.
    constexpr int expiredIntervals = 3;

    std::int64_t toWholeMilliseconds(std::chrono::nanoseconds time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

}

ServingState::ServingState(const GatewaySettings& settings)
    : m_settings(settings)
    , m_registry(expiredIntervals * settings.runnerRenewInterval)
    , m_crashEvidence(crashLifetime, answerLifetime)
    , m_streamOrigins(defaultStreamLifetime)
    , m_softwareHistory(defaultStreamLifetime)
    , m_engine(hash64(settings.hostName + makeUniqueId()))
{
}

bool ServingState::acceptTables(RoutingTables tables, const TablesArrival& arrival)
{
    if (m_routes && tables.version <= m_routes->tables().version)
        return false;
    const auto version = tables.version;
    m_routes = std::make_shared<const RouteIndex>(std::move(tables));
    m_tablesHistory.add(m_routes);
    ++m_tablesArrivals[std::string(arrival.way)];
    logEvent(LogLevel::Info, "tables_in_force", { { "version", version }, { "source", arrival.way }, { "routes", m_routes->tables().routes.size() }, { "organisations", m_routes->tables().organisations.size() }, { "bytes", arrival.bytes }, { "decode_ms", arrival.decodeTime.count() }, { "since_news_ms", arrival.sinceNews.count() } });
    updateCacheStores();
    updatePolicies();
    updateStreamLifetime();
    refreshRunners();
    if (m_tablesHandler)
        m_tablesHandler();
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

void ServingState::updateStreamLifetime()
{
    std::chrono::milliseconds longest { 0 };
    for (const auto& route : m_routes->tables().routes) {
        if (route.kind == RequestKind::Stream && route.isResumable)
            longest = std::max(longest, route.timeLimit);
    }
    const auto lifetime = longest * streamLifetimeLimits + streamLifetimeMargin;
    m_streamOrigins.setLifetime(lifetime);
    m_softwareHistory.setLifetime(lifetime);
}

void ServingState::observeSoftware()
{
    m_softwareHistory.observe(m_registry.records(), std::chrono::steady_clock::now());
}

std::optional<std::string> ServingState::onlySoftwareVersion(const std::string& pool) const
{
    return m_softwareHistory.onlyVersion(pool, m_storeEra, std::chrono::steady_clock::now());
}

bool ServingState::hasSeveralSoftwareVersions(const std::string& pool) const
{
    return m_softwareHistory.versions(pool, std::chrono::steady_clock::now()).size() > 1;
}

std::shared_ptr<CacheContents> ServingState::findStore(std::uint32_t number) const
{
    const auto it = std::find_if(m_cacheStores.begin(), m_cacheStores.end(), [&](const auto& store) { return store->number() == number; });
    return it == m_cacheStores.end() ? nullptr : *it;
}

bool ServingState::isObsolete(const CacheScope& scope, std::chrono::nanoseconds bootNow) const
{
    if (!m_cacheRetention.mayFree(scope.model, scope.version, bootNow))
        return false;
    return std::all_of(m_backendDirectory.all().begin(), m_backendDirectory.all().end(), [&](const auto& entry) {
        const auto version = entry.second->version(scope.model);
        return !version || *version > scope.version;
    });
}

AnnouncedVersion ServingState::dateVersion(std::chrono::nanoseconds bootNow, VersionDelivery delivery) const
{
    // A newly started process knows neither the age of the version nor the versions before it. It keeps using older weights for a while,
    // and longer only if other hosts report the age of the version that replaced them.
    if (!m_contactHistory.hasAnswered()) {
        const auto assumed = bootNow - versionGrace() + assumedRemainingTime;
        return { assumed, true, assumed };
    }
    const auto since = m_contactHistory.earliestChangeTime(bootNow);
    AnnouncedVersion out { since, since != bootNow };
    if (delivery == VersionDelivery::NewestOnly)
        out.missedSince = m_contactHistory.earliestMissedChangeTime(bootNow);
    return out;
}

void ServingState::acceptVersion(const ModelTarget& target, std::chrono::nanoseconds bootNow, VersionDelivery delivery)
{
    const auto announced = dateVersion(bootNow, delivery);
    const auto formerNewest = newestVersion(target.model);
    if (!m_versions[target.model].add(target.version, announced))
        return;
    m_versionsHash ^= (formerNewest == 0 ? 0 : hash64(target.model, formerNewest)) ^ hash64(target.model, target.version);
    m_cacheRetention.onAnnounced(target.model, target.version, bootNow);
    logEvent(LogLevel::Info, "version_announced", { { "model", target.model }, { "version", target.version }, { "age_ms", toWholeMilliseconds(bootNow - announced.since) }, { "missed_ms", announced.missedSince ? toWholeMilliseconds(bootNow - *announced.missedSince) : -1 } });
}

void ServingState::acceptVersionAge(std::uint64_t modelHash, std::uint64_t version, std::chrono::milliseconds age, std::chrono::nanoseconds bootNow)
{
    for (auto& [model, history] : m_versions) {
        if (hash64(model) == modelHash && history.mergeAnnouncementTime(version, bootNow - age))
            logEvent(LogLevel::Info, "version_age_learned", { { "model", model }, { "version", version }, { "age_ms", age.count() } });
    }
}

void ServingState::confirmVersions(std::chrono::nanoseconds at)
{
    if (const auto clockMs = m_runnerClock.read(at))
        m_cacheRetention.confirm(*clockMs);
}

std::optional<std::chrono::milliseconds> ServingState::confirmationAge(std::chrono::nanoseconds bootNow) const
{
    const auto confirmedAt = m_cacheRetention.confirmedAt();
    const auto clockMs = m_runnerClock.read(bootNow);
    return confirmedAt && clockMs ? std::optional(std::chrono::milliseconds(*clockMs - *confirmedAt)) : std::nullopt;
}

void ServingState::acceptConfirmation(const VersionsConfirmation& confirmation)
{
    if (confirmation.clockMs > 0 && confirmation.versionsHash == m_versionsHash)
        m_cacheRetention.confirm(confirmation.clockMs);
}

std::optional<std::int64_t> ServingState::storeFetchEnd(const std::string& model, std::uint64_t version, std::chrono::nanoseconds bootNow) const
{
    const auto end = m_cacheRetention.fetchEnd(model, version);
    const auto clockMs = m_runnerClock.read(bootNow);
    return end && clockMs && *clockMs < *end ? end : std::nullopt;
}

std::chrono::milliseconds ServingState::storeFetchTime(const std::string& model, std::uint64_t version, std::chrono::nanoseconds bootNow) const
{
    const auto end = storeFetchEnd(model, version, bootNow);
    return std::chrono::milliseconds(end ? *end - m_runnerClock.read(bootNow).value_or(*end) : 0);
}

void ServingState::checkStoreFetches(std::chrono::nanoseconds bootNow)
{
    const auto age = confirmationAge(bootNow);
    const bool mayFetch = age && *age < CacheRetention::retentionTime;
    if (std::exchange(m_mayFetchFromStores, mayFetch) == mayFetch)
        return;
    logEvent(mayFetch ? LogLevel::Info : LogLevel::Warning, mayFetch ? "store_fetches_allowed" : "store_fetches_suspended", { { "confirmed_ms_ago", age ? age->count() : -1 } });
}

std::chrono::milliseconds ServingState::versionGrace() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.versionLimit * versionGraceShare);
}

void ServingState::refreshRunners()
{
    observeSoftware();
    m_backendDirectory.update(m_registry.records(), [this](const std::string& pool) -> std::int64_t {
        const auto* row = m_routes ? m_routes->findPool(pool) : nullptr;
        return row && row->engine ? row->engine->memoryTokens : 0;
    });
    const auto now = std::chrono::steady_clock::now();
    for (const auto& [id, runner] : m_backendDirectory.all()) {
        runner->setWarmUpBound(warmUpBound(runner->record().pool), now);
        const bool isEvacuated = m_evacuatedDataCentres.contains(runner->record().dataCentre);
        // Runners are idle during an evacuation and may warm up again after it.
        if (runner->isEvacuated() && !isEvacuated)
            runner->suspectRestart(now);
        runner->setEvacuated(isEvacuated);
    }
}

std::optional<WarmUpBound> ServingState::warmUpBound(const std::string& pool) const
{
    const auto* row = m_settings.warmUpAllowance && m_routes ? m_routes->findPool(pool) : nullptr;
    if (!row || !row->warmUp)
        return std::nullopt;
    return WarmUpBound { row->warmUp->duration, m_settings.warmUpAllowance->of(row->warmUp->perSecond) };
}

void ServingState::setEvacuated(const std::string& dataCentre, bool isEvacuated)
{
    auto dataCentres = m_evacuatedDataCentres;
    if (isEvacuated)
        dataCentres.insert(dataCentre);
    else
        dataCentres.erase(dataCentre);
    setEvacuatedDataCentres(std::move(dataCentres));
}

void ServingState::setEvacuatedDataCentres(std::set<std::string> dataCentres)
{
    const auto former = std::exchange(m_evacuatedDataCentres, std::move(dataCentres));
    for (const auto& dataCentre : m_evacuatedDataCentres) {
        if (!former.contains(dataCentre))
            logEvent(LogLevel::Info, "evacuation_begun", { { "data_centre", dataCentre } });
    }
    for (const auto& dataCentre : former) {
        if (!m_evacuatedDataCentres.contains(dataCentre))
            logEvent(LogLevel::Info, "evacuation_ended", { { "data_centre", dataCentre } });
    }
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

std::optional<std::chrono::nanoseconds> ServingState::weightsExpiry(const std::string& model, std::uint64_t version) const
{
    const auto it = m_versions.find(model);
    return it == m_versions.end() ? std::nullopt : it->second.expiryOf(version, m_settings.versionLimit);
}

bool ServingState::isLikelyRetry(const std::string& route, std::optional<std::chrono::milliseconds> timeLeft, std::chrono::milliseconds goal)
{
    if (!timeLeft)
        return false;
    auto& longest = m_longestTimesLeft[route];
    longest = std::max(longest, *timeLeft);
    return longest - *timeLeft > goal;
}

PoolPolicies& ServingState::policies(const std::string& pool)
{
    const auto it = m_policies.find(pool);
    if (it != m_policies.end())
        return it->second;
    const auto* row = m_routes ? m_routes->findPool(pool) : nullptr;
    return m_policies.emplace(pool, makePolicies(row ? row->engine : std::nullopt)).first->second;
}

PoolPolicies ServingState::makePolicies(const std::optional<EngineLimits>& limits) const
{
    // The learned times of engines have another unit, so that requests without a prompt are placed there by slots.
    PoolPolicies out { std::nullopt, ServicePlacement(m_settings.learnsCapacity && !limits), FleetRetryBudget(m_settings.retryShare, m_settings.retryReserve, m_settings.retryWindow), {} };
    if (limits)
        out.engine.emplace(*limits, m_settings.mechanisms, m_settings.learnsCapacity);
    return out;
}

void ServingState::updatePolicies()
{
    for (auto& [pool, policies] : m_policies) {
        const auto* row = m_routes->findPool(pool);
        const auto& engine = policies.engine;
        const bool isUnchanged = !row || (row->engine ? engine && engine->limits() == *row->engine : !engine);
        if (isUnchanged)
            continue;
        // The retries that were sent and the callers that were told to return count on.
        auto renewed = makePolicies(row->engine);
        policies.engine = std::move(renewed.engine);
        policies.service = std::move(renewed.service);
    }
}

}

#include "chiveshelf/gateway/SoftwareLedger.h"

#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Tasks.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    // Interval of checks whether a record has to be written. A check makes no call to the store.
    constexpr std::chrono::milliseconds checkInterval { 100 };

}

SoftwareLedger::SoftwareLedger(asio::io_context& context, platform::StoreClient& store, ServingState& state, const StoreFollower& follower, const RolloutLeader& leader)
    : m_context(context)
    , m_store(store)
    , m_state(state)
    , m_follower(follower)
    , m_leader(leader)
{
}

void SoftwareLedger::start()
{
    spawnLoop(m_context, "software_ledger.run", [this] { return run(); });
}

asio::awaitable<void> SoftwareLedger::run()
{
    asio::steady_timer timer(m_context);
    while (true) {
        boost::system::error_code ec;
        timer.expires_after(checkInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        if (!m_leader.holdsLease())
            continue;
        const auto missing = m_state.softwareHistory().missingRecords(m_follower.position().era, std::chrono::steady_clock::now());
        for (const auto& [pool, record] : missing)
            co_await write(pool, record);
    }
}

asio::awaitable<void> SoftwareLedger::write(std::string pool, SoftwareRecord record)
{
    const auto key = std::string(softwareKeyPrefix) + pool;
    std::vector<KeyCondition> conditions { { key, m_follower.softwareRevision(pool) } };
    std::vector<KeyWrite> writes;
    writes.push_back({ key, encodeSoftwareRecord(record), {} });
    const auto written = co_await m_store.write(std::move(conditions), std::move(writes));
    logEvent(LogLevel::Info, "software_recorded", { { "pool", pool }, { "era", record.era }, { "versions", record.versions.size() }, { "outcome", written ? "written" : written.error().message } });
    // Until the follower sees the new item, a second write with the same condition would fail.
    if (written)
        m_state.softwareHistory().setRecord(pool, std::move(record), std::chrono::steady_clock::now());
}

}

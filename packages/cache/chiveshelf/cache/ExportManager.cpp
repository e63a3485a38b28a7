#include "chiveshelf/cache/ExportManager.h"

#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Tasks.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <set>

namespace chiveshelf {

namespace asio = boost::asio;
using Clock = StoreLinks::Clock;

namespace {

    constexpr auto pollInterval = std::chrono::milliseconds(20);

}

ExportManager::ExportManager(asio::io_context& context, HttpStore& stores, StoreLinks& links, Exporter exporter)
    : m_context(context)
    , m_stores(stores)
    , m_links(links)
    , m_exporter(std::move(exporter))
{
}

void ExportManager::start()
{
    spawnLoop(m_context, "export_manager.loop", [this] { return loop(); });
}

void ExportManager::offer(ExportOffer offer)
{
    m_counters.dropped += m_queue.add(std::move(offer));
}

asio::awaitable<void> ExportManager::loop()
{
    asio::steady_timer timer(m_context);
    while (true) {
        boost::system::error_code ec;
        timer.expires_after(pollInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        m_counters.dropped += m_queue.expire(Clock::now());
        while (startNextExport()) {
        }
    }
}

bool ExportManager::startNextExport()
{
    const auto now = Clock::now();
    auto offer = m_queue.takeBest([&](const Address& store) { return m_links.isIdle(store, now); });
    if (!offer)
        return false;
    auto slot = m_links.beginExport(offer->store);
    spawnTask(m_context, "export_manager.run", run(std::move(*offer), std::move(slot)));
    return true;
}

asio::awaitable<void> ExportManager::run(ExportOffer offer, std::shared_ptr<void> slot)
{
    // Another host may have exported the blocks meanwhile, or the store may have restarted with a new generation.
    const auto found = co_await m_stores.lookUp(offer.store, offer.keys);
    if (!found) {
        m_links.recordFailure(offer.store, Clock::now());
        m_counters.dropped += 1;
        co_return;
    }
    std::set<std::string> stored;
    for (const auto& record : found->records)
        stored.insert(record.key);
    while (!offer.keys.empty()) {
        const auto key = offer.keys.front();
        if (stored.contains(key)) {
            offer.keys.erase(offer.keys.begin());
            continue;
        }
        if (m_links.isBusy(offer.store, Clock::now())) {
            // Imports have precedence, since a caller waits for them. Queue the remaining blocks again.
            slot.reset();
            m_counters.dropped += m_queue.add(std::move(offer));
            co_return;
        }
        const auto record = co_await exportBlock(offer, key, found->generation);
        if (!record)
            co_return;
        ++m_counters.blocks;
        offer.keys.erase(offer.keys.begin());
    }
}

asio::awaitable<Result<BlockRecord>> ExportManager::exportBlock(const ExportOffer& offer, std::string key, std::int64_t generation)
{
    const auto start = Clock::now();
    const ExportRequest request { offer.identity, key, offer.store, generation };
    auto record = co_await m_exporter(offer.runner, request);
    if (record) {
        m_links.recordExport(offer.store, record->length, Clock::now() - start, Clock::now());
        const auto confirmed = co_await m_stores.commit(*record);
        if (!confirmed)
            record = tl::unexpected(confirmed.error());
    }
    if (record) {
        m_links.recordSuccess(offer.store);
        m_links.recordStored(offer.store);
        co_return record;
    }
    const auto code = record.error().code;
    if (code == ErrorCode::NotFound)
        co_return record;
    ++m_counters.failures;
    if (code == ErrorCode::Overloaded)
        m_links.recordFull(offer.store, Clock::now());
    else
        m_links.recordFailure(offer.store, Clock::now());
    logEvent(LogLevel::Warning, "export_failed",
        { { "organisation", offer.identity.organisation }, { "store", toString(offer.store) }, { "block", key }, { "error", record.error().message } });
    co_return record;
}

}

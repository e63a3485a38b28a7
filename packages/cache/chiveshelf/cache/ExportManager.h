#pragma once

#include "chiveshelf/cache/ExportQueue.h"
#include "chiveshelf/cache/HttpStore.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace chiveshelf {

// Asks a runner to write one block to a store.
struct ExportRequest {
    BlockIdentity identity;
    std::string key;
    Address store;
    std::int64_t generation = 0;

    auto operator<=>(const ExportRequest&) const = default;
};

// Counters for metrics.
struct ExportCounters {
    std::uint64_t blocks = 0;
    std::uint64_t failures = 0;
    std::uint64_t dropped = 0;
};

// Writes blocks back to stores while their links are idle, the most valuable offers first. Construct it, call start(), then
// offer() after each answer.
class ExportManager {
public:
    // Writes a block from a runner to a store and returns its record. Fails with Overloaded if the store is full and with
    // NotFound if the runner no longer has the block.
    using Exporter = std::function<boost::asio::awaitable<Result<BlockRecord>>(Address runner, ExportRequest)>;

    ExportManager(boost::asio::io_context&, HttpStore&, StoreLinks&, Exporter);
    ExportManager(const ExportManager&) = delete;
    ExportManager& operator=(const ExportManager&) = delete;

    void start();
    void offer(ExportOffer);
    std::size_t queued() const { return m_queue.size(); }
    const ExportCounters& counters() const { return m_counters; }

private:
    boost::asio::awaitable<void> loop();
    boost::asio::awaitable<void> run(ExportOffer, std::shared_ptr<void> slot);
    boost::asio::awaitable<Result<BlockRecord>> exportOne(const ExportOffer&, std::string key, std::int64_t generation);
    bool startBest();

    boost::asio::io_context& m_context;
    HttpStore& m_stores;
    StoreLinks& m_links;
    Exporter m_exporter;
    ExportQueue m_queue;
    ExportCounters m_counters;
};

}

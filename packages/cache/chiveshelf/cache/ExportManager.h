#pragma once

#include "chiveshelf/cache/ExportQueue.h"
#include "chiveshelf/cache/HttpStore.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace chiveshelf {

// A request to a runner to write one block to a store.
struct ExportRequest {
    BlockIdentity identity;
    std::string key;
    Address store;
    std::int64_t generation = 0;

    auto operator<=>(const ExportRequest&) const = default;
};

// Counters since the start of the process, for metrics.
struct ExportCounters {
    std::uint64_t blocks = 0;
    std::uint64_t failures = 0;
    std::uint64_t dropped = 0;
};

// Exports blocks from runners to stores while the links are idle, in descending order of value. Construct it, call start(), then
// call offer() after each answer.
class ExportManager {
public:
    // Makes a runner write a block to a store and returns the block's record. Fails with Overloaded if the store is full and with
    // NotFound if the runner no longer has the block.
    using Exporter = std::function<boost::asio::awaitable<Result<BlockRecord>>(Address runner, ExportRequest)>;

    ExportManager(boost::asio::io_context&, HttpStore&, StoreLinks&, Exporter);
    ExportManager(const ExportManager&) = delete;
    ExportManager& operator=(const ExportManager&) = delete;

    void start();

    // Queues blocks for export. May drop the least valuable offer if the queue is full.
    void offer(ExportOffer);

    // Returns the number of queued offers.
    std::size_t queued() const { return m_queue.size(); }
    const ExportCounters& counters() const { return m_counters; }

private:
    boost::asio::awaitable<void> loop();
    boost::asio::awaitable<void> run(ExportOffer, std::shared_ptr<void> slot);
    boost::asio::awaitable<Result<BlockRecord>> exportBlock(const ExportOffer&, std::string key, std::int64_t generation);
    bool startNextExport();

    boost::asio::io_context& m_context;
    HttpStore& m_stores;
    StoreLinks& m_links;
    Exporter m_exporter;
    ExportQueue m_queue;
    ExportCounters m_counters;
};

}

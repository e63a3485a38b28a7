#pragma once

#include "chiveshelf/idempotency/Shard.h"
#include "chiveshelf/keyvalue/HttpPlatform.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>

namespace chiveshelf {

struct ShardWriterSettings {
    // Number of shards. It must be the same on all hosts; a host whose number differs from the one stored in the platform's service
    // cannot write.
    std::uint32_t shards = 1024;
    // Time for which the first operation of a group waits for others. With 0, each operation is written separately.
    std::chrono::milliseconds window { 20 };
    ShardLimits limits;

    bool operator==(const ShardWriterSettings&) const = default;
};

// Counts since the start of the writer, for metrics. `readBacks` counts writes whose reply was lost, after which
// the shard was read again.
struct ShardWriterCounters {
    std::uint64_t operations = 0;
    std::uint64_t groups = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t readBacks = 0;
    std::uint64_t failures = 0;
    std::uint64_t full = 0;
};

// Applies claims and completions to the shards in the platform's service. Concurrent operations on a shard are written in one
// compare-and-swap. A shard can have several writers: after a conflict, a writer reads the shard and decides again.
class ShardWriter {
public:
    ShardWriter(boost::asio::io_context&, HttpPlatform&, ShardWriterSettings);
    ~ShardWriter();
    ShardWriter(const ShardWriter&) = delete;
    ShardWriter& operator=(const ShardWriter&) = delete;

    // Claims a key. On failure the attempt must not run; the verdict states whether the claim may have been written. All errors have
    // a retry time.
    boost::asio::awaitable<Result<ClaimReply>> claim(ClaimKey);

    // Records the result of an attempt. Can be repeated.
    boost::asio::awaitable<Result<CompletionReply>> complete(CompleteKey);

    std::uint32_t shardOf(const std::string& organisation, const std::string& key) const;
    const ShardWriterCounters& counters() const { return m_counters; }

private:
    struct Operation;
    struct ShardState;
    using Group = std::vector<std::shared_ptr<Operation>>;

    boost::asio::awaitable<Result<ClaimReply>> submit(std::shared_ptr<Operation>);
    boost::asio::awaitable<void> writeLoop(std::uint32_t shard);
    boost::asio::awaitable<Result<void>> write(std::uint32_t shard, const Group&);
    boost::asio::awaitable<Result<void>> load(std::uint32_t shard);
    boost::asio::awaitable<Result<void>> checkShardCount();

    // Reads a key, with one retry after a timeout: a pooled connection may have failed silently, and a timeout closes all pooled
    // connections.
    boost::asio::awaitable<Result<KeyValueEntry>> read(std::string key);
    void reportResults(const Group&, const Result<void>&);
    void evictCopies(std::uint32_t keptShard);

    boost::asio::io_context& m_context;
    HttpPlatform& m_platform;
    ShardWriterSettings m_settings;
    std::map<std::uint32_t, std::unique_ptr<ShardState>> m_shards;
    ShardWriterCounters m_counters;
    bool m_hasCheckedShardCount = false;
    // Time until which claims are refused without a call to the platform's service, so that they do not accumulate while it is down.
    std::chrono::steady_clock::time_point m_refuseClaimsUntil;
    Error m_lastError;
};

}

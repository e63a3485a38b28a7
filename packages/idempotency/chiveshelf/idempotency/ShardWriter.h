#pragma once

#include "chiveshelf/idempotency/Shard.h"
#include "chiveshelf/keyvalue/HttpPlatform.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>

namespace chiveshelf {

struct ShardWriterSettings {
    // Number of shards. Hosts must agree on it; the number that is stored in the platform's service wins.
    std::uint32_t shards = 1024;
    // Time that the first operation of a group waits for others. With 0 each operation is written by itself.
    std::chrono::milliseconds window { 20 };
    ShardLimits limits;

    bool operator==(const ShardWriterSettings&) const = default;
};

// Counters for metrics.
struct ShardWriterCounters {
    std::uint64_t operations = 0;
    std::uint64_t groups = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t readBacks = 0;
    std::uint64_t failures = 0;
    std::uint64_t full = 0;
};

// Applies claims and completions to the shards in the platform's service, grouped per shard into one compare-and-swap. Several
// writers of a shard are safe: a conflict makes a writer read the shard and decide again.
class ShardWriter {
public:
    ShardWriter(boost::asio::io_context&, HttpPlatform&, ShardWriterSettings);
    ~ShardWriter();
    ShardWriter(const ShardWriter&) = delete;
    ShardWriter& operator=(const ShardWriter&) = delete;

    // On failure the attempt must not run. The error's verdict says whether the claim may have been written all the same; errors
    // of the writer always carry a retry time.
    boost::asio::awaitable<Result<ClaimReply>> claim(ClaimKey);

    // Succeeds once the end is recorded. It may be repeated.
    boost::asio::awaitable<Result<CompletionReply>> complete(CompleteKey);

    std::uint32_t shardOf(const std::string& organisation, const std::string& key) const;
    const ShardWriterCounters& counters() const { return m_counters; }

private:
    struct Operation;
    struct ShardState;
    using Group = std::vector<std::shared_ptr<Operation>>;

    boost::asio::awaitable<Result<ClaimReply>> submit(std::shared_ptr<Operation>);
    boost::asio::awaitable<void> run(std::uint32_t shard);
    boost::asio::awaitable<Result<void>> write(std::uint32_t shard, const Group&);
    boost::asio::awaitable<Result<void>> load(std::uint32_t shard);
    boost::asio::awaitable<Result<void>> checkLayout();

    // Reads a key, once more if the connection gave no sign in time: a pooled one may have gone silent, and a time-out closes all of
    // them.
    boost::asio::awaitable<Result<KeyValueEntry>> read(std::string key);
    void answer(const Group&, const Result<void>&);
    void limitCache(std::uint32_t keep);

    boost::asio::io_context& m_context;
    HttpPlatform& m_platform;
    ShardWriterSettings m_settings;
    std::map<std::uint32_t, std::unique_ptr<ShardState>> m_shards;
    ShardWriterCounters m_counters;
    bool m_hasCheckedLayout = false;
    // Claims are refused without a call until then, so that they do not queue up behind a service that is down.
    std::chrono::steady_clock::time_point m_refuseUntil;
    Error m_lastError;
};

}

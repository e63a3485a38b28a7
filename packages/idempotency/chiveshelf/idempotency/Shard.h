#pragma once

#include "chiveshelf/core/Error.h"
#include "chiveshelf/idempotency/Messages.h"

#include <chrono>
#include <map>
#include <string>

namespace chiveshelf {

// Bounds of a shard. The defaults fit values of 1 MB.
struct ShardLimits {
    // Claims are refused above this size, so that the claims already granted can still be completed.
    std::size_t claimBytes = 800'000;
    std::size_t valueBytes = 1'000'000;
    // Longer bodies are not kept. 16 KiB leaves room for 50 such outcomes in a shard.
    std::size_t outcomeBytes = 16 * 1024;
    std::chrono::seconds retention = std::chrono::hours(24);

    bool operator==(const ShardLimits&) const = default;
};

// The records of one shard: a pure value with the rules of claims and completions, without I/O. Times are wall-clock seconds,
// since they outlive every process.
class Shard {
public:
    using Time = std::chrono::sys_seconds;

    explicit Shard(ShardLimits limits = {});

    // Reads a stored value; an empty one is an empty shard. Fails with Internal if it has another format.
    static Result<Shard> parse(const std::string& value, ShardLimits);
    std::string serialize() const;

    // Decides a claim and records it if it is granted. Fails with Overloaded and NotRun when the shard is full.
    Result<ClaimReply> claim(const ClaimKey&, Time now);

    // Records the end of an attempt. An end that comes before its claim is kept too, so that a late claim is not granted.
    void complete(const CompleteKey&, Time now);

    // Removes records older than the retention.
    void prune(Time now);

    bool hasChanged() const { return m_hasChanged; }
    void resetChanged() { m_hasChanged = false; }
    std::size_t recordCount() const { return m_records.size(); }
    // Estimated size of the stored value.
    std::size_t bytes() const { return m_bytes; }

private:
    enum class State : std::uint8_t {
        Claimed = 1,
        Completed = 2,
        Abandoned = 3,
        Unknown = 4,
    };

    struct Record {
        State state = State::Claimed;
        std::string attemptId;
        std::string fingerprint;
        std::int64_t time = 0;
        RecordedOutcome outcome;

        template <typename Archive>
        void serialize(Archive& archive)
        {
            archive(state, attemptId, fingerprint, time, outcome);
        }
    };

    void put(const std::string& name, Record);
    std::chrono::milliseconds untilOldestExpires(Time now) const;

    ShardLimits m_limits;
    std::map<std::string, Record> m_records;
    std::size_t m_bytes = 0;
    bool m_hasChanged = false;
};

}

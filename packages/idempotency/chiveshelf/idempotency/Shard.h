#pragma once

#include "chiveshelf/core/Error.h"
#include "chiveshelf/idempotency/Messages.h"

#include <chrono>
#include <map>
#include <string>

namespace chiveshelf {

// Limits of a shard. The defaults fit a store whose values have at most 1 MB.
struct ShardLimits {
    // Claims are refused from this size in bytes on, which leaves room to complete the claims already granted.
    std::size_t claimBytes = 800'000;
    std::size_t valueBytes = 1'000'000;
    // Longer bodies are not stored. With 16 KiB, a shard has room for 50 outcomes of the maximum length.
    std::size_t outcomeBytes = 16 * 1024;
    std::chrono::seconds retention = std::chrono::hours(24);

    bool operator==(const ShardLimits&) const = default;
};

// The records of one shard, with the rules for claims and completions. Performs no I/O. Times are wall-clock seconds, since stored
// records outlive the process.
class Shard {
public:
    using Time = std::chrono::sys_seconds;

    explicit Shard(ShardLimits limits = {});

    // Parses a stored value. An empty value is an empty shard. Fails with Internal if the value has another format.
    static Result<Shard> parse(const std::string& value, ShardLimits);
    std::string serialize() const;

    // Decides on a claim and records it if it is granted. Fails with Overloaded and NotRun if the shard is full.
    Result<ClaimReply> claim(const ClaimKey&, Time now);

    // Records the result of an attempt. A result that arrives before its claim is recorded too, so that the late claim is not
    // granted.
    void complete(const CompleteKey&, Time now);

    // Removes records that are older than the retention.
    void prune(Time now);

    bool hasChanged() const { return m_hasChanged; }
    void resetChanged() { m_hasChanged = false; }
    std::size_t recordCount() const { return m_records.size(); }
    // Returns the estimated size of the stored value in bytes.
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
    std::chrono::milliseconds timeUntilOldestExpires(Time now) const;

    ShardLimits m_limits;
    std::map<std::string, Record> m_records;
    std::size_t m_bytes = 0;
    bool m_hasChanged = false;
};

}

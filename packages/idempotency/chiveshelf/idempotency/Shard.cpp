#include "chiveshelf/idempotency/Shard.h"

#include "chiveshelf/peer/Codec.h"

#include <algorithm>

namespace chiveshelf {

namespace {

    constexpr std::uint32_t formatVersion = 1;
    // Estimated size of a stored record without its texts: their lengths, the state and the time.
    constexpr std::size_t recordOverheadBytes = 64;
    // No request runs longer than this. The attempt that owns an older claim has ended without recording a result.
    constexpr auto maxRequestDuration = std::chrono::seconds(300);
    constexpr auto maxRetryAfter = std::chrono::hours(1);

    std::string recordKey(const std::string& organisation, const std::string& key)
    {
        // The space is an unambiguous separator, since requests with a space in either header are refused.
        return organisation + " " + key;
    }

}

Shard::Shard(ShardLimits limits)
    : m_limits(limits)
{
}

Result<Shard> Shard::parse(const std::string& value, ShardLimits limits)
{
    Shard shard(limits);
    if (value.empty())
        return shard;
    try {
        std::istringstream in(value);
        cereal::PortableBinaryInputArchive archive(in);
        std::uint32_t version = 0;
        archive(version);
        if (version != formatVersion)
            return failure(ErrorCode::Internal, "idempotency shard has unsupported format " + std::to_string(version), Verdict::NotRun);
        std::map<std::string, Record> records;
        archive(records);
        for (auto& [name, record] : records)
            shard.put(name, std::move(record));
    } catch (const std::exception& error) {
        return failure(ErrorCode::Internal, std::string("idempotency shard is malformed: ") + error.what(), Verdict::NotRun);
    }
    shard.m_hasChanged = false;
    return shard;
}

std::string Shard::serialize() const
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(formatVersion, m_records);
    }
    return std::move(out).str();
}

Result<ClaimReply> Shard::claim(const ClaimKey& message, Time now)
{
    const auto name = recordKey(message.organisation, message.key);
    const auto it = m_records.find(name);
    if (it != m_records.end()) {
        const auto& record = it->second;
        const bool isOwn = record.attemptId == message.attemptId;
        if (record.state == State::Abandoned && isOwn)
            return ClaimReply { ClaimState::Withdrawn, {} };
        if (record.state != State::Abandoned && record.fingerprint != message.fingerprint)
            return ClaimReply { ClaimState::KeyReused, {} };
        if (record.state == State::Claimed && isOwn)
            return ClaimReply { ClaimState::Granted, {} };
        if (record.state == State::Claimed) {
            const bool isOwnerLost = now - Time(std::chrono::seconds(record.time)) > maxRequestDuration;
            return ClaimReply { isOwnerLost ? ClaimState::Unknown : ClaimState::InProgress, {} };
        }
        if (record.state == State::Completed)
            return ClaimReply { ClaimState::Completed, record.outcome };
        if (record.state == State::Unknown)
            return ClaimReply { ClaimState::Unknown, {} };
    }
    if (m_bytes >= m_limits.claimBytes)
        return failure(ErrorCode::Overloaded, "idempotency shard is full", Verdict::NotRun, timeUntilOldestExpires(now));
    put(name, { State::Claimed, message.attemptId, message.fingerprint, now.time_since_epoch().count(), {} });
    return ClaimReply { ClaimState::Granted, {} };
}

void Shard::complete(const CompleteKey& message, Time now)
{
    const auto name = recordKey(message.organisation, message.key);
    const auto it = m_records.find(name);
    if (it != m_records.end() && (it->second.attemptId != message.attemptId || it->second.state != State::Claimed))
        return;
    Record record { State::Unknown, message.attemptId, message.fingerprint, now.time_since_epoch().count(), {} };
    if (it != m_records.end())
        record.time = it->second.time;
    if (message.result == AttemptResult::Abandoned)
        record.state = State::Abandoned;
    if (message.result == AttemptResult::Completed) {
        record.state = State::Completed;
        record.outcome = message.outcome;
        const bool isTooLong = record.outcome.body.size() > m_limits.outcomeBytes
            || m_bytes + record.outcome.body.size() + recordOverheadBytes > m_limits.valueBytes;
        if (isTooLong) {
            record.outcome.body.clear();
            record.outcome.isBodyStored = false;
        }
    }
    put(name, std::move(record));
}

void Shard::prune(Time now)
{
    for (auto it = m_records.begin(); it != m_records.end();) {
        const auto& record = it->second;
        if (now - Time(std::chrono::seconds(record.time)) <= m_limits.retention) {
            ++it;
            continue;
        }
        m_bytes -= it->first.size() + record.attemptId.size() + record.fingerprint.size() + record.outcome.body.size()
            + record.outcome.contentType.size() + recordOverheadBytes;
        it = m_records.erase(it);
    }
}

void Shard::put(const std::string& name, Record record)
{
    const auto size = [&](const Record& it) {
        return name.size() + it.attemptId.size() + it.fingerprint.size() + it.outcome.body.size() + it.outcome.contentType.size() + recordOverheadBytes;
    };
    const auto old = m_records.find(name);
    if (old != m_records.end())
        m_bytes -= size(old->second);
    m_bytes += size(record);
    m_records[name] = std::move(record);
    m_hasChanged = true;
}

std::chrono::milliseconds Shard::timeUntilOldestExpires(Time now) const
{
    auto oldest = now;
    for (const auto& [name, record] : m_records)
        oldest = std::min(oldest, Time(std::chrono::seconds(record.time)));
    const std::chrono::seconds left = oldest + m_limits.retention - now;
    return std::clamp<std::chrono::milliseconds>(left, std::chrono::seconds(1), maxRetryAfter);
}

}

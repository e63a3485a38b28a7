#pragma once

#include "chiveshelf/core/Time.h"
#include "chiveshelf/placement/RunnerRecord.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace chiveshelf {

// Hash of a pool and a version of its runners' software.
using SoftwareId = std::uint64_t;

SoftwareId softwareOf(std::string_view pool, std::string_view version);

// Returns the software of a runner. It belongs to one incarnation: a runner can restart under its old id with another version.
SoftwareId softwareOf(const RunnerRecord&);

// Which software began a stream.
struct StreamOrigin {
    // Hash of the caller's request and of the id of the attempt that received the first event. It stays the same over all attempts to
    // resume the stream.
    std::uint64_t stream = 0;
    SoftwareId software = 0;

    auto operator<=>(const StreamOrigin&) const = default;
};

// The origins of streams that may still be resumed. The host that forwards a stream's first event owns its record; others get copies.
// A record lives as long as a stream can last with all its resumptions.
//
// Ids are chosen by callers. If the same id names streams of two versions, the origin of neither is known by it.
class StreamOrigins {
public:
    // Value of StreamOrigin::software for streams of two versions with the same id.
    static constexpr SoftwareId disputed = 0;
    // The oldest records are dropped beyond this number.
    static constexpr std::size_t maxStreams = 50'000;

    explicit StreamOrigins(std::chrono::milliseconds lifetime)
        : m_lifetime(lifetime)
    {
    }

    void setLifetime(std::chrono::milliseconds lifetime) { m_lifetime = lifetime; }
    std::chrono::milliseconds lifetime() const { return m_lifetime; }

    // Records an origin, or renews its record. Returns the record as it is now if that is news, nothing otherwise.
    std::optional<StreamOrigin> record(StreamOrigin, TimePoint now);

    // Returns the record of a stream, disputed ones too, or nothing if its origin is unknown.
    std::optional<StreamOrigin> recordOf(std::uint64_t stream, TimePoint now) const;

    std::size_t size() const { return m_records.size(); }

    // Drops the records whose life has ended.
    void expire(TimePoint now);

private:
    struct Record {
        SoftwareId software = 0;
        TimePoint recordedAt {};
    };

    std::chrono::milliseconds m_lifetime;
    std::unordered_map<std::uint64_t, Record> m_records;
};

}

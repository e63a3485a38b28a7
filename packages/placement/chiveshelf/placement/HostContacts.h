#pragma once

#include "chiveshelf/core/Time.h"
#include "chiveshelf/placement/ContactHistory.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace chiveshelf {

// What the other hosts tell of their contact with the store. Shows whether a host alone lost contact, or its data centre or all hosts
// did.
class HostContacts {
public:
    // A host that has not noticed an outage after this time was not concerned by it: a call without an answer fails earlier.
    static constexpr std::chrono::milliseconds detectionTime { 5'000 };

    // Records a host's unbroken contact, or that it has none. `host` and `dataCentre` are hashes of the names.
    void note(std::uint64_t host, std::uint64_t dataCentre, std::optional<ContactSpan<TimePoint>>);

    // Returns whether the store answered a host of this data centre at `time` or later, in a contact that was unbroken for
    // `detectionTime` before.
    bool hasContactAcross(std::string_view dataCentre, TimePoint time) const;

private:
    struct Report {
        std::uint64_t dataCentre = 0;
        std::optional<ContactSpan<TimePoint>> contact;
    };

    // Last reports by the hash of the host's name.
    std::unordered_map<std::uint64_t, Report> m_reports;
};

}

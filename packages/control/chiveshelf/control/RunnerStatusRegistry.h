#pragma once

#include "chiveshelf/runner/RunnerPort.h"

#include <map>
#include <optional>
#include <string>

namespace chiveshelf {

// What the controllers of a host know about the runners of the pools that the host owns. The scheduler on the same host reads
// it to leave out runners that load and to expect the version that a runner has.
class RunnerStatusRegistry {
public:
    void setStatus(const std::string& runner, std::optional<RunnerStatus> status) { m_entries[runner].status = std::move(status); }
    void setTakenOut(const std::string& runner, bool isTakenOut) { m_entries[runner].isTakenOut = isTakenOut; }
    void forget(const std::string& runner) { m_entries.erase(runner); }

    // True unless the runner loads or is about to.
    bool mayServe(const std::string& runner) const
    {
        const auto it = m_entries.find(runner);
        return it == m_entries.end() || (!it->second.isTakenOut && !(it->second.status && it->second.status->isLoading));
    }

    // Returns the version that the runner last reported, or nothing.
    std::optional<std::string> version(const std::string& runner) const
    {
        const auto it = m_entries.find(runner);
        return it == m_entries.end() || !it->second.status ? std::nullopt : std::optional(it->second.status->version);
    }

private:
    struct Entry {
        std::optional<RunnerStatus> status;
        bool isTakenOut = false;
    };

    std::map<std::string, Entry> m_entries;
};

}

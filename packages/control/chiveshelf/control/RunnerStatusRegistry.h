#pragma once

#include "chiveshelf/runner/RunnerPort.h"

#include <map>
#include <optional>
#include <string>

namespace chiveshelf {

// The last reported status of the runners in the pools that this host owns. Written by the host's pool controllers and read by
// its scheduler, which skips loading runners and sends requests with the version that the runner has loaded.
class RunnerStatusRegistry {
public:
    void setStatus(const std::string& runner, std::optional<RunnerStatus> status) { m_entries[runner].status = std::move(status); }

    // Sets whether a load command has been or is about to be sent to the runner.
    void setOutOfService(const std::string& runner, bool isOutOfService) { m_entries[runner].isOutOfService = isOutOfService; }
    void remove(const std::string& runner) { m_entries.erase(runner); }

    // Returns false if the runner is loading or is about to load. A runner without an entry may serve.
    bool mayServe(const std::string& runner) const
    {
        const auto it = m_entries.find(runner);
        return it == m_entries.end() || (!it->second.isOutOfService && !(it->second.status && it->second.status->isLoading));
    }

    // Returns the version that the runner last reported, or nothing if it is unknown.
    std::optional<std::string> version(const std::string& runner) const
    {
        const auto it = m_entries.find(runner);
        return it == m_entries.end() || !it->second.status ? std::nullopt : std::optional(it->second.status->version);
    }

private:
    struct Entry {
        std::optional<RunnerStatus> status;
        bool isOutOfService = false;
    };

    std::map<std::string, Entry> m_entries;
};

}

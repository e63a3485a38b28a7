#pragma once

#include "chiveshelf/placement/BackendState.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace chiveshelf {

// All known runners with this host's state of each. The state is discarded when a runner restarts. Runners are held by shared
// pointers, so that a request can use its runner after the runner was removed.
class BackendDirectory {
public:
    using RunnerList = std::vector<std::shared_ptr<BackendState>>;

    // Replaces the set of runners by the registry's records. `memoryOf` returns the engine memory of a pool in tokens.
    void update(const std::map<std::string, RunnerRecord>& records, const std::function<std::int64_t(const std::string& pool)>& memoryOf);

    // Returns the runners of a pool, except those that are leaving.
    const RunnerList& runnersOf(const std::string& pool) const;

    // Returns the runner with this id, or nullptr.
    std::shared_ptr<BackendState> find(const std::string& id) const;

    // Returns the runner with this runnerNumber(), which identifies it in messages between hosts, or nullptr.
    std::shared_ptr<BackendState> findByNumber(std::uint32_t) const;

    const std::map<std::string, std::shared_ptr<BackendState>>& all() const { return m_runners; }

private:
    std::map<std::string, std::shared_ptr<BackendState>> m_runners;
    std::unordered_map<std::uint32_t, std::shared_ptr<BackendState>> m_byNumber;
    std::map<std::string, RunnerList> m_pools;
};

}

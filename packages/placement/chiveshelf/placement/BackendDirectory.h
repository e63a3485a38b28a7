#pragma once

#include "chiveshelf/placement/BackendState.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace chiveshelf {

// The runners that may get work, with the beliefs about them. Beliefs end with the incarnation that they are about. A request
// holds its runner by a shared pointer, so that it outlives the runner's removal.
class BackendDirectory {
public:
    using RunnerList = std::vector<std::shared_ptr<BackendState>>;

    // Takes the registry's records. `memoryOf` returns the engine memory of a pool in tokens.
    void update(const std::map<std::string, RunnerRecord>& records, const std::function<std::int64_t(const std::string& pool)>& memoryOf);

    // Returns the pool's runners, those that are leaving excluded.
    const RunnerList& runnersOf(const std::string& pool) const;

    // Returns the runner, or nullptr.
    std::shared_ptr<BackendState> find(const std::string& id) const;

    // Returns the runner by its number, which other hosts send, or nullptr.
    std::shared_ptr<BackendState> findByNumber(std::uint32_t) const;

    const std::map<std::string, std::shared_ptr<BackendState>>& all() const { return m_runners; }

private:
    std::map<std::string, std::shared_ptr<BackendState>> m_runners;
    std::unordered_map<std::uint32_t, std::shared_ptr<BackendState>> m_byNumber;
    std::map<std::string, RunnerList> m_pools;
};

}

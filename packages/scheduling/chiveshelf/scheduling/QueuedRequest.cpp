#include "chiveshelf/scheduling/QueuedRequest.h"

#include <algorithm>

namespace chiveshelf {

bool QueuedRequest::excludes(const std::string& runner) const
{
    return std::find(excludedRunners.begin(), excludedRunners.end(), runner) != excludedRunners.end();
}

int PoolSnapshot::totalSlots() const
{
    int n = 0;
    for (const auto& runner : runners)
        n += runner.isUsable ? runner.slots : 0;
    return n;
}

int PoolSnapshot::freeSlots() const
{
    int n = 0;
    for (const auto& runner : runners)
        n += runner.hasFreeSlot() ? runner.slots - runner.running : 0;
    return n;
}

RunnerSnapshot* PoolSnapshot::find(const std::string& name)
{
    const auto it = std::find_if(runners.begin(), runners.end(), [&](const RunnerSnapshot& runner) { return runner.name == name; });
    return it == runners.end() ? nullptr : &*it;
}

}

#include "chiveshelf/placement/ReturnSchedule.h"

#include <algorithm>

namespace chiveshelf {

std::chrono::milliseconds ReturnSchedule::next(std::chrono::milliseconds wait, double perSecond, std::chrono::milliseconds longestWait, TimePoint now)
{
    const auto returnAt = std::max(now + wait, m_nextReturnAt);
    const auto out = std::chrono::ceil<std::chrono::milliseconds>(returnAt - now);
    if (out <= longestWait)
        m_nextReturnAt = returnAt + std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double>(1 / perSecond));
    return out;
}

}

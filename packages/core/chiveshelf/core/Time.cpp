#include "chiveshelf/core/Time.h"

#include <ctime>

namespace chiveshelf {

std::chrono::nanoseconds bootTime()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

}

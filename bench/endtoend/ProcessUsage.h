#pragma once

#include <vector>

namespace bench {

// Returns the CPU time of the processes since their start, in s. A process that has ended counts as 0.
double cpuSeconds(const std::vector<int>& processIds);

// Returns the largest resident memory of any of the processes, in MB.
double largestMemoryMb(const std::vector<int>& processIds);

}

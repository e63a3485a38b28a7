#pragma once

#include <vector>

namespace bench {

// Processor time of the processes since their start, in s. A process that has ended counts 0.
double cpuSeconds(const std::vector<int>& processIds);

// Largest resident memory of the processes, in MB.
double largestMemoryMb(const std::vector<int>& processIds);

}

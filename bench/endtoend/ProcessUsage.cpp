#include "endtoend/ProcessUsage.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>

#include <unistd.h>

namespace bench {

namespace {

    // Indexes of the fields in /proc/PID/stat after the command name, which may contain spaces.
    constexpr std::size_t userTimeField = 11;
    constexpr std::size_t systemTimeField = 12;
    constexpr std::size_t residentPagesField = 21;

    std::vector<std::string> readStat(int processId)
    {
        std::ifstream in("/proc/" + std::to_string(processId) + "/stat");
        std::string line;
        std::getline(in, line);
        const auto nameEnd = line.rfind(')');
        std::istringstream rest(nameEnd == std::string::npos ? std::string() : line.substr(nameEnd + 1));
        std::vector<std::string> fields;
        for (std::string field; rest >> field;)
            fields.push_back(field);
        return fields;
    }

}

double cpuSeconds(const std::vector<int>& processIds)
{
    double ticks = 0;
    for (const int processId : processIds) {
        const auto fields = readStat(processId);
        if (fields.size() > systemTimeField)
            ticks += std::stod(fields[userTimeField]) + std::stod(fields[systemTimeField]);
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double largestMemoryMb(const std::vector<int>& processIds)
{
    double pages = 0;
    for (const int processId : processIds) {
        const auto fields = readStat(processId);
        if (fields.size() > residentPagesField)
            pages = std::max(pages, std::stod(fields[residentPagesField]));
    }
    return pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

}

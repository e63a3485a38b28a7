#pragma once

#include "endtoend/LoadClient.h"

#include <nlohmann/json.hpp>

#include <array>
#include <string>
#include <vector>

namespace bench {

// Results of a priority class in a run.
struct ClassResult {
    std::size_t sent = 0;
    std::size_t completed = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    // Share of the sent requests whose first token arrived within the target of the class.
    double withinTargetShare = 0;
    double firstTokenP50Ms = -1;
    double firstTokenP95Ms = -1;
    double firstTokenP99Ms = -1;
    double tokenGapP95Ms = -1;
    double refusalP95Ms = -1;
};

// Results of a scenario under one policy.
struct RunResult {
    std::string scenario;
    std::string policy;
    std::array<ClassResult, chiveshelf::priorityCount> classes;
    // Share of the prompt tokens of completed requests that were computed instead of read from a cache or store.
    double recomputedShare = 0;
    // p95 of the first-token time in the standard class: small organisations divided by large ones.
    double smallToLargeRatio = 0;
    double smallFirstTokenP95Ms = -1;
    double smallCompletedShare = 0;
    double goodputPerSecond = 0;
    std::int64_t linkBytes = 0;
    double hostCpuPercent = 0;
    double hostMemoryMb = 0;
};

// Returns the value below which the given share of the values lies, or -1 if there are no values.
double percentile(std::vector<double> values, double share);

// Computes the results of a run from its samples.
RunResult evaluate(const std::string& scenario, const std::string& policy, const std::vector<Sample>&, std::chrono::milliseconds duration);

nlohmann::ordered_json toJson(const RunResult&);

// Return the header and a row of a Markdown table of results.
std::string tableHeader();
std::string tableRow(const RunResult&);

}

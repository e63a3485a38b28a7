#pragma once

#include "endtoend/LoadClient.h"

#include <nlohmann/json.hpp>

#include <array>
#include <string>
#include <vector>

namespace bench {

// What one priority class got in a run.
struct ClassResult {
    std::size_t sent = 0;
    std::size_t completed = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    // Requests whose first token came within the class target, divided by those sent.
    double withinTarget = 0;
    double firstTokenP50Ms = -1;
    double firstTokenP95Ms = -1;
    double firstTokenP99Ms = -1;
    double tokenGapP95Ms = -1;
    double refusalP95Ms = -1;
};

// The result of one scenario under one policy.
struct RunResult {
    std::string scenario;
    std::string policy;
    std::array<ClassResult, chiveshelf::priorityCount> classes;
    // Prompt tokens that were computed and not taken from a cache or store, of all prompt tokens answered.
    double recomputedShare = 0;
    // First-token time at p95 of the standard class, small organisations divided by large ones.
    double smallToLargeRatio = 0;
    double smallFirstTokenP95Ms = -1;
    double smallCompletedShare = 0;
    double goodputPerSecond = 0;
    std::int64_t linkBytes = 0;
    double controlCpuPercent = 0;
    double hostMemoryMb = 0;
};

// Returns the value below which a share of the values lies, or -1 if there are none.
double percentile(std::vector<double> values, double share);

// Computes a result from the samples of a run.
RunResult evaluate(const std::string& scenario, const std::string& policy, const std::vector<Sample>&, std::chrono::milliseconds duration);

nlohmann::ordered_json toJson(const RunResult&);

// Returns the header and the line of a result in a Markdown table.
std::string tableHeader();
std::string tableRow(const RunResult&);

}

#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace chiveshelf {

// Counts of one gateway process, read by the metrics endpoint.
struct GatewayMetrics {
    // Requests by how they ended: "answered", "refused", "failed", "caller_gone", "time_up", "rejected".
    std::map<std::string, std::uint64_t> requests;
    // Refusals by reason.
    std::map<std::string, std::uint64_t> refusals;
    std::uint64_t repeats = 0;
    std::uint64_t resumes = 0;
    std::uint64_t strayAnswers = 0;
    // Sums for the error of the predicted time to the first byte, in ms.
    std::uint64_t predictions = 0;
    double predictionErrorMs = 0;
    double predictedMs = 0;
    double measuredMs = 0;
};

// Returns the metrics in the text format of Prometheus, with the given gauges.
std::string formatGatewayMetrics(const GatewayMetrics&, const std::map<std::string, double>& gauges);

}

#pragma once

#include "chiveshelf/core/LoopMonitor.h"

#include <cstdint>
#include <map>
#include <string>

namespace chiveshelf {

// Counters of one gateway process, exposed by the metrics endpoint.
struct GatewayMetrics {
    // Requests by outcome: "answered", "refused", "failed", "caller_gone", "time_up", "rejected".
    std::map<std::string, std::uint64_t> requests;
    // Refusals by reason.
    std::map<std::string, std::uint64_t> refusals;
    // Requests sent to runners while they stated a limit, by runner.
    std::map<std::string, std::uint64_t> limitedSends;
    // Responses whose body had neither a length nor chunks, by how their connection ended: "closed" or "failed".
    std::map<std::string, std::uint64_t> unframedAnswers;
    // Sends to runners that continue a stream, by what made it necessary: "within_answer" (its runner broke off) or "by_caller".
    std::map<std::string, std::uint64_t> streamResumptions;
    // Streams that callers resume, by how their origin is known: "recorded", "only_version", "unknown" or "version_gone".
    std::map<std::string, std::uint64_t> takeUps;
    // Connections of callers that this host closed, by reason.
    std::map<std::string, std::uint64_t> closedCallers;
    // Connections of callers that were closed at once, because the bound was reached and none was unused.
    std::uint64_t refusedConnections = 0;
    // Tables that came into force, by the way that they took: "store", "item", "update" or "whole".
    std::map<std::string, std::uint64_t> tablesArrivals;
    // Events of the sharing of failed connections; see SuspicionNotices::events().
    std::map<std::string, std::uint64_t> suspicionEvents;
    // Pieces of tables sent to other hosts, their bytes, and requests that had to wait for a slot.
    std::uint64_t tablesPieces = 0;
    std::uint64_t tablesBytes = 0;
    std::uint64_t tablesBusy = 0;
    // Requests from which this host learned the capacity of a runner, and requests sent to runners that were expected to be slow, to
    // find out whether they still are.
    std::uint64_t capacitySamples = 0;
    std::uint64_t capacityProbes = 0;
    LoopDelays loopDelays;
    std::uint64_t repeats = 0;
    std::uint64_t resumes = 0;
    // Requests sent to runners that were warming up under a bound.
    std::uint64_t warmUpSends = 0;
    std::uint64_t strayResponses = 0;
    // Answers that this host couldn't hold back, because all answers together exceeded their budget.
    std::uint64_t unheldResponses = 0;
    // Number of predictions of the time to the first byte, and sums of their errors, predicted and measured times, in ms.
    std::uint64_t predictions = 0;
    double predictionErrorMs = 0;
    double predictedMs = 0;
    double measuredMs = 0;
};

// Returns the counters and the given gauges in the Prometheus text format.
std::string formatGatewayMetrics(const GatewayMetrics&, const std::map<std::string, double>& gauges);

}

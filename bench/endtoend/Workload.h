#pragma once

#include "chiveshelf/core/Priority.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace bench {

// A request of a workload. `startAt` is relative to the start of the run.
struct PlannedRequest {
    std::chrono::milliseconds startAt { 0 };
    std::string organisation;
    chiveshelf::Priority priority = chiveshelf::Priority::Standard;
    std::string model;
    std::string prompt;
    std::int64_t maxTokens = 16;
    // Index of the data centre whose load balancer receives the request.
    std::size_t dataCentre = 0;
    bool isLargeOrganisation = false;
    bool isMeasured = true;

    auto operator<=>(const PlannedRequest&) const = default;
};

// Change of the fleet during a run.
enum class Disturbance {
    None,
    StoreLost,
    SlowLink,
    HostKilled,
    WeightSwap,
};

// Load and disturbance of a benchmark run. Rates are in requests per second over the whole fleet.
struct Scenario {
    std::string name;
    std::string purpose;
    double urgentRate = 0;
    double standardRate = 0;
    double batchRate = 0;
    // Share of the requests that large organisations send.
    double largeShare = 0.5;
    // Share of the requests that continue a conversation of the warm-up.
    double returningShare = 0.6;
    Disturbance disturbance = Disturbance::None;
    std::vector<std::string> policies;
};

// Sizes and names of a deployment.
struct Deployment {
    std::string name;
    std::vector<std::string> dataCentres;
    std::string mainPool;
    int mainRunners = 0;
    std::string deskPool;
    int deskRunners = 0;
    std::vector<std::string> stores;
    std::chrono::milliseconds weightLoadTime { 0 };
};

// Returns the deployment "glowline", or "pellham" for any other name.
Deployment makeDeployment(const std::string& name);

// Returns all scenarios.
std::vector<Scenario> makeScenarios();

// Returns the random requests of a run, ordered by start. The same seed gives the same requests for every policy.
std::vector<PlannedRequest> planRequests(const Scenario&, const Deployment&, std::chrono::milliseconds duration, std::uint64_t seed);

// Returns the requests that fill the caches and stores before a run, one per conversation.
std::vector<PlannedRequest> planWarmUp(const Scenario&, const Deployment&, std::uint64_t seed);

}

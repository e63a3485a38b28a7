#pragma once

#include "chiveshelf/core/Address.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace chiveshelf {

// Registry entry of a backend server.
struct RunnerRecord {
    std::string id;
    std::string pool;
    Address address;
    std::string dataCentre;
    // Number of requests that it can run at the same time.
    unsigned slots = 1;
    bool isLeaving = false;
    // Unix time of its start in ms. Together with the id it identifies one incarnation, since a runner can restart under its old id.
    std::int64_t bornMs = 0;
    // Counts the reports of the incarnation, so that the later of two entries has the higher number.
    std::int64_t sequence = 0;
    // Version of the runner's software, not of its weights.
    std::string softwareVersion;
    // Remaining warm-up time after its start, during which it is slower.
    std::chrono::milliseconds coldLeft { 0 };
    // Loaded version of the weights, by model.
    std::map<std::string, std::uint64_t> modelVersions;

    auto operator<=>(const RunnerRecord&) const = default;

    bool isSameIncarnation(const RunnerRecord& other) const { return id == other.id && bornMs == other.bornMs; }
};

// Version of a model's weights that the operator announced for all runners.
struct ModelTarget {
    std::string model;
    std::uint64_t version = 0;

    auto operator<=>(const ModelTarget&) const = default;
};

}

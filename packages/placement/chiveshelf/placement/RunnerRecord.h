#pragma once

#include "chiveshelf/core/Address.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace chiveshelf {

// What a backend server says of itself in the registry.
struct RunnerRecord {
    std::string id;
    std::string pool;
    Address address;
    std::string dataCentre;
    // Requests that it computes at once.
    unsigned slots = 1;
    bool isLeaving = false;
    // Unix time of its start in ms. With the id it names one incarnation: a runner may start again under its old id.
    std::int64_t bornMs = 0;
    // How much longer it is slow after its start.
    std::chrono::milliseconds coldLeft { 0 };
    // Version of the weights by model.
    std::map<std::string, std::uint64_t> modelVersions;

    auto operator<=>(const RunnerRecord&) const = default;

    bool isSameIncarnation(const RunnerRecord& other) const { return id == other.id && bornMs == other.bornMs; }
};

// A version of a model's weights that the operator wants on all runners.
struct ModelTarget {
    std::string model;
    std::uint64_t version = 0;

    auto operator<=>(const ModelTarget&) const = default;
};

}

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace support {

// An operator's configuration that consists mostly of routes without requests.
struct LargeTables {
    std::uint64_t version = 1;
    std::size_t idleRoutes = 0;
    // The pool of the route /look/.
    std::string lookPool = "desk";
    std::chrono::milliseconds idleTime { 2'000 };

    // Returns the text that is stored. Besides the idle routes it has /look/ (idempotent), /book/ (not idempotent), both with
    // `timeout`, and /v<version>/, which tells whether the version is in force.
    std::string text() const;

    static constexpr std::chrono::milliseconds timeout { 3'000 };
};

}

#pragma once

#include "chiveshelf/core/Time.h"
#include "chiveshelf/placement/BackendState.h"
#include "chiveshelf/placement/OutstandingWork.h"
#include "chiveshelf/placement/StreamSeparation.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace chiveshelf {

// What every choice of a runner depends on, whatever the pool does.
struct PlacementContext {
    TimePoint now;
    // The same moment by bootTime().
    std::chrono::nanoseconds bootNow { 0 };
    // Data centre of this host. Bytes between data centres are dear.
    std::string dataCentre;
    // Runners that this request must not try again.
    std::vector<std::string> excluded;
    // Time to the first byte that is worth having.
    std::chrono::milliseconds goal { 0 };
    // Longest pause between events of a stream that is worth having; 0 for any.
    std::chrono::milliseconds longestPause { 0 };
    // Time after which the caller is not served any more.
    std::chrono::milliseconds timeLeft { 0 };
    // Bounds of a random cost, in ms, that keeps hosts with the same figures from choosing the same runner at once: for runners
    // in other data centres and in this one, of which the figures are fresher.
    double jitterMs = 0;
    double nearJitterMs = 0;
    // Whether the caller has been refused before, so that the goal can not be met any more.
    bool isLate = false;

    bool isExcluded(const std::string& id) const
    {
        return std::find(excluded.begin(), excluded.end(), id) != excluded.end();
    }
};

// Time that a store's link spends on the parts that a request fetches from it.
struct StoreFetch {
    Address store;
    double ms = 0;

    auto operator<=>(const StoreFetch&) const = default;
};

// A runner that was chosen, with the figures that the choice was made on.
struct Placement {
    std::shared_ptr<BackendState> runner;
    // Predicted time to the first byte.
    std::chrono::milliseconds predicted { 0 };
    // Of which until the runner turns to the request.
    std::chrono::milliseconds wait { 0 };
    // Of which to read what has to be read.
    std::chrono::milliseconds prefill { 0 };
    // What reading it does to the streams there.
    StreamEffect streamEffect;
    // What the request adds to the runner's work.
    OutstandingWork work;
    // For each part of the prompt, where it is fetched from and saved to.
    std::vector<std::optional<Address>> fetchFrom;
    std::vector<std::optional<Address>> saveTo;
    // What the stores among the sources have to send.
    std::vector<StoreFetch> storeFetches;
    // How long fetching may take before the prompt is read instead.
    std::optional<std::chrono::milliseconds> maxFetchTime;
    // Part of the prediction that is fetching, for learning.
    std::chrono::milliseconds predictedFetch { 0 };
    double nominalFetchMs = 0;
    // Whether a measured first token tells the runner's speed: nothing to fetch, nothing waiting.
    bool isSpeedSample = false;
};

// Why no runner was chosen.
enum class RefusalReason {
    // The pool has no runner that could be tried.
    NoRunner,
    // No runner would be in time.
    Overloaded,
    // All runners that could be tried asked for a pause.
    Paused,
};

constexpr std::string_view refusalReasonName(RefusalReason reason)
{
    if (reason == RefusalReason::Paused)
        return "runners_paused";
    return reason == RefusalReason::NoRunner ? "no_runner" : "overloaded";
}

// A request that is turned away at once, with the time after which it is worth coming back.
struct PlacementRefusal {
    RefusalReason reason = RefusalReason::NoRunner;
    std::chrono::milliseconds retryAfter { 0 };
    // The wait that led to the refusal.
    std::chrono::milliseconds predicted { 0 };
};

using PlacementResult = tl::expected<Placement, PlacementRefusal>;

// Returns the refusal where no runner may be tried. Callers come back when the first runner that asked for a pause takes work
// again, or after the goal if none did.
//
// Answers the load pattern "all runners of a pool ask for a pause at once".
PlacementRefusal refuseWithoutRunner(const PlacementContext&, const std::vector<std::shared_ptr<BackendState>>& runners, double random);

// Returns the next number of a sequence in 0 to 1 that one random number begins, for choices among many.
double nextDraw(double draw);

// Returns when a refused caller should come back: after `wait`, spread over half as long again by `random` (0 to 1) so that
// callers do not return together, and within the third of its time that callers are ready to wait.
std::chrono::milliseconds jitteredRetryAfter(std::chrono::milliseconds wait, std::chrono::milliseconds timeLeft, double random);

}

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

// Inputs to the choice of a runner that are common to all kinds of pools.
struct PlacementContext {
    TimePoint now;
    // The same time by bootTime().
    std::chrono::nanoseconds bootNow { 0 };
    // Data centre of this host. Traffic between data centres is expensive.
    std::string dataCentre;
    // Ids of the runners that must not be chosen for this request.
    std::vector<std::string> excluded;
    // Target for the time to the first byte.
    std::chrono::milliseconds goal { 0 };
    // Target for the longest pause between two events of a stream; 0 for none.
    std::chrono::milliseconds longestPause { 0 };
    // Time until the request expires.
    std::chrono::milliseconds timeLeft { 0 };
    // Upper bounds of the random cost, in ms, that keeps hosts with the same load figures from choosing the same runner. The first
    // is for runners in other data centres, the second for those in this one, whose load figures are more recent.
    double jitterMs = 0;
    double nearJitterMs = 0;
    // Whether the request is probably the retry of a refused one, so that the goal can no longer be met.
    bool isRetry = false;

    bool isExcluded(const std::string& id) const
    {
        return std::find(excluded.begin(), excluded.end(), id) != excluded.end();
    }
};

// Time for which the fetches of a request occupy the link of a store.
struct StoreFetch {
    Address store;
    double ms = 0;

    auto operator<=>(const StoreFetch&) const = default;
};

// A chosen runner, with the predictions on which the choice was based.
struct Placement {
    std::shared_ptr<BackendState> runner;
    // Predicted time to the first byte.
    std::chrono::milliseconds predicted { 0 };
    // Part of `predicted` before the runner starts on the request.
    std::chrono::milliseconds wait { 0 };
    // Part of `predicted` for the prefill of the uncached tokens.
    std::chrono::milliseconds prefill { 0 };
    // Effect of the prefill on the streams of the runner.
    StreamEffect streamEffect;
    // Work that the request adds to the runner.
    OutstandingWork work;
    // For each part of the prompt, the address to fetch it from and the address to save it to. Empty if nothing is transferred.
    std::vector<std::optional<Address>> fetchFrom;
    std::vector<std::optional<Address>> saveTo;
    // Version of the weights for which the transfers are planned. Nothing if there are none.
    std::optional<std::uint64_t> transferVersion;
    // Whether a part is fetched from a store.
    bool fetchesFromStore = false;
    // Fetches from stores, for the load of their links.
    std::vector<StoreFetch> storeFetches;
    // Time limit of the fetches, after which the runner prefills the whole prompt.
    std::optional<std::chrono::milliseconds> maxFetchTime;
    // Predicted time of the fetches, and the time they would take at the nominal speed of the links. Used by learn().
    std::chrono::milliseconds predictedFetch { 0 };
    double nominalFetchMs = 0;
    // Whether hosts of all data centres are told of the placement at once.
    bool isAnnouncedWidely = false;
    // Whether the time to the first token measures the runner's prefill speed: the prompt neither waits nor fetches.
    bool isSpeedSample = false;
    // Number of requests at the runner, this one included, or 0 if the capacity of runners is not learned.
    std::int32_t learnedLoad = 0;
    // Whether the runner was chosen although it is expected to be slow, to find out whether it still is.
    bool isProbe = false;
};

// Reason why no runner was chosen.
enum class RefusalReason {
    // The pool has no usable runner.
    NoRunner,
    // All usable runners would be too late.
    Overloaded,
    // Runners of the pool requested a pause, and no other one is usable.
    Paused,
    // Runners of the pool are at the limit of requests that they state, and no other one is usable.
    Limited,
};

constexpr std::string_view refusalReasonName(RefusalReason reason)
{
    if (reason == RefusalReason::Paused)
        return "runners_paused";
    if (reason == RefusalReason::Limited)
        return "runners_limited";
    return reason == RefusalReason::NoRunner ? "no_runner" : "overloaded";
}

// Immediate refusal of a request, with the delay after which the caller should retry.
struct PlacementRefusal {
    RefusalReason reason = RefusalReason::NoRunner;
    std::chrono::milliseconds retryAfter { 0 };
    // Predicted time that led to the refusal.
    std::chrono::milliseconds predicted { 0 };
    // With RefusalReason::Limited, the requests per second that the limited runners of the pool take from all hosts together.
    double permitsPerSecond = 0;
};

using PlacementResult = tl::expected<Placement, PlacementRefusal>;

// Returns the refusal for a pool without usable runners. Callers retry when the first of the requested pauses ends or the first limited
// runner takes a request again, or after the goal if no runner is paused or limited. `random` is uniform in 0 to 1.
//
// Handles the load patterns "all runners of a pool request a pause at the same time" and "all runners of a pool are at their limit".
PlacementRefusal refuseWithoutRunner(const PlacementContext&, const std::vector<std::shared_ptr<BackendState>>& runners, double random);

// Returns the number from 0 to 1 that follows `previous` in a pseudo-random sequence. The first `previous` is the seed.
double nextRandom(double previous);

// Returns the longest time that a caller with this time left waits before it retries.
std::chrono::milliseconds longestRetryWait(std::chrono::milliseconds timeLeft);

// Returns the delay after which a refused caller should retry: `wait` plus a jitter of up to half of it, so that callers do not
// retry at the same time, and at most about a third of `timeLeft`, since callers do not wait longer. `random` is uniform in 0 to 1.
std::chrono::milliseconds jitteredRetryAfter(std::chrono::milliseconds wait, std::chrono::milliseconds timeLeft, double random);

}

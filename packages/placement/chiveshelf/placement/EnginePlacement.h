#pragma once

#include "chiveshelf/placement/BackendDirectory.h"
#include "chiveshelf/placement/CacheContents.h"
#include "chiveshelf/placement/Mechanisms.h"
#include "chiveshelf/placement/Placement.h"
#include "chiveshelf/placement/StreamSeparation.h"
#include "chiveshelf/routing/Prompt.h"

#include <functional>
#include <optional>

namespace chiveshelf {

// Request for a model runner.
struct EngineRequest {
    const Prompt* prompt = nullptr;
    // Name of the organisation if it shares no cached parts with others, empty otherwise.
    std::string dedicatedOrganisation;
    unsigned priority = 0;
    // Newest announced version of the weights, and the oldest version that may still be used. 0 if none was announced.
    std::uint64_t newestVersion = 0;
    std::uint64_t requiredVersion = 0;
    // Returns the bootTime() from which on requests may not begin on weights of a version, or nothing if there is none.
    std::function<std::optional<std::chrono::nanoseconds>(std::uint64_t version)> weightsExpiry;
    // Returns the time for which parts of a version may still be fetched from stores. Unlimited if there is no function.
    std::function<std::chrono::milliseconds(std::uint64_t version)> storeFetchTime;
};

// Stores of cached parts, with their known contents.
using CacheStores = std::vector<std::shared_ptr<CacheContents>>;

// Returns the scope in which a request shares cached parts on weights of this version.
CacheScope cacheScope(const EngineRequest&, std::uint64_t version);

// Returns the scope of an organisation's parts in a PartCacheModel. It needs no version, since the model is cleared when a runner
// loads new weights.
std::uint64_t cacheScopeHash(const std::string& dedicatedOrganisation);

// Chooses the model runner with the least cost, mainly the predicted time to the first token and the prefill work.
//
// The prediction assumes that an engine prefills prompts one after another, more urgent ones first, at a speed learned from answers.
// A less urgent prompt delays others only by its chunk in progress. Requests beyond the engine's slots or memory wait for others to
// end.
//
// While an engine prefills one chunk after another, its streams pause, since an event contains several tokens and each token waits
// for a chunk. Prompts are therefore placed so that an engine does not prefill without a break for longer than streams may pause.
// Where that is not possible, prompts are placed on engines with few streams or with streams that pause already, and new streams
// avoid these engines.
//
// Handles the load patterns "returning prompts with long shared parts", "a burst of long cheap prompts" (prompts whose first token
// would be late are refused, so that the admitted ones are in time), "a burst of short urgent prompts" (they wait only for prompts
// at least as urgent), and "a quarter of the runners fail at the same time" (the same rules apply to the remaining runners).
class EnginePlacement {
public:
    // `learnsCapacity` tells whether the prefill speed of a runner is learned by its load, and from the samples of all hosts.
    explicit EnginePlacement(const EngineLimits&, Mechanisms = {}, bool learnsCapacity = false);

    const EngineLimits& limits() const { return m_limits; }

    // Returns the chosen runner with its transfers, or a refusal. `random` is uniform in 0 to 1. It adds jitter to costs and to the
    // retry delays of refused callers.
    PlacementResult choose(const EngineRequest&, const PlacementContext&, const BackendDirectory::RunnerList&, const CacheStores&, double random) const;

    // Records a sent request, so that later choices account for its parts, fetches and saves.
    void recordSend(const EngineRequest&, const Placement&, const CacheStores&, TimePoint now);

    // Learns from the measured time to the first token: the runner's prefill speed if the prompt neither waited nor fetched, otherwise
    // the speed of the transfers.
    static void learn(const Placement&, const CacheStores&, std::chrono::milliseconds firstToken, TimePoint now);

private:
    struct Prediction {
        double firstTokenMs = 0;
        double waitMs = 0;
        double prefillMs = 0;
        double fetchMs = 0;
        double nominalFetchMs = 0;
        // Time limit of the fetches.
        double maxFetchMs = 0;
        std::int64_t uncachedTokens = 0;
        std::int64_t fetchTokens = 0;
        // Time to prefill the prompts that the runner already has: those of all priorities, and those less urgent than this one.
        double busyMs = 0;
        double lessUrgentMs = 0;
        std::int32_t requests = 0;
        // Whether the prompt neither waits nor fetches, so that the time to the first token measures the prefill speed.
        bool isPrefillOnly = false;
        // Whether parts that could be fetched are prefilled instead.
        bool isFetchSkipped = false;
    };

    // Inputs of one choice.
    struct Choice {
        const EngineRequest& request;
        const PlacementContext& context;
        BackendDirectory::RunnerList candidates;
        StreamSeparation::StreamShares streamShares;
        double fallbackSpeed = 0;
        // Largest recent slowdown of the candidates' machines.
        double worstSlowdown = 1;
    };

    // A runner with its predictions and its cost in ms.
    struct Candidate {
        std::shared_ptr<BackendState> runner;
        Prediction prediction;
        StreamEffect effect;
        double cost = 0;
    };

    // Locations of a prompt's parts, looked up once for all candidates.
    struct PartLocations;
    struct Source;

    Prediction predict(const EngineRequest&, const BackendState&, const PartLocations&, TimePoint now, std::chrono::milliseconds goal,
        double fallbackSpeed) const;
    // Returns the runner that rendezvous hashing prefers for a prompt whose parts are not known to be cached, among the runners with
    // the least cost of stream separation.
    std::shared_ptr<BackendState> preferredRunner(const Choice&) const;
    // Returns the cost of a candidate in ms, without the terms that depend on the other candidates.
    double costOf(const Choice&, const BackendState&, const Prediction&) const;
    std::optional<Candidate> best(const Choice&, const PartLocations&, double random) const;
    // Returns a refusal if the prompt would be too late on its best runner, otherwise nothing.
    static std::optional<PlacementRefusal> refusalFor(const PlacementContext&, const Prediction&, double random);
    // Returns the cost in ms of the pauses that the prompt would cause in other streams, and of those in its own stream.
    static double pauseCost(const Prediction&, std::chrono::milliseconds longestPause);
    void planTransfers(const EngineRequest&, const PlacementContext&, const PartLocations&, const CacheStores&, Placement&) const;
    // Returns the store to save a part to, or nullptr if a store already has the part or none has room. Prefers stores in the runner's
    // data centre. Hosts that save the same part at the same time choose the same store.
    static const CacheContents* chooseStore(const CacheStores&, const CacheScope&, const PromptPart&, const std::string& dataCentre,
        const PlacementContext&);
    // Returns whether the prompt would begin before the runner's weights expire.
    static bool beginsInTime(const EngineRequest&, const PlacementContext&, const BackendState&, const Prediction&);
    // Returns the prefill speed of a runner in tokens per ms, without the reported slowdown of its machine.
    double prefillSpeed(const BackendState&, std::int32_t requests, double fallbackSpeed, TimePoint now) const;
    bool isCandidate(const EngineRequest&, const PlacementContext&, const BackendState&) const;

    EngineLimits m_limits;
    Mechanisms m_mechanisms;
    bool m_learnsCapacity;
    // Nominal time in ms to fetch a token over a runner's link.
    double m_fetchMsPerToken;
    // Whether cached parts move between engines so fast that prompts take any engine with room, also in another data centre. All hosts
    // then choose among all engines and have to know of each other's placements at once: without that, engines get more prompts than
    // their slots and memory hold, and preempt streams.
    bool m_hasCheapTransfers;
    StreamSeparation m_separation;
};

}

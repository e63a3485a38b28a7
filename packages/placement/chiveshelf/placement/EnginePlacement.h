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

// A prompt that wants a model runner.
struct EngineRequest {
    const Prompt* prompt = nullptr;
    // Set for an organisation that shares no cached parts with others.
    std::string dedicatedOrganisation;
    unsigned priority = 0;
    // The newest version that the operator named and the oldest that may still be used; 0 if none was named.
    std::uint64_t newestVersion = 0;
    std::uint64_t requiredVersion = 0;
    // Returns when requests may no longer begin on weights of a version, by bootTime(); nothing if there is no such time.
    std::function<std::optional<std::chrono::nanoseconds>(std::uint64_t version)> weightsExpiry;
};

// The stores of cached parts with their known contents.
using CacheStores = std::vector<std::shared_ptr<CacheContents>>;

// Returns the scope in which a request shares cached parts on weights of this version.
CacheScope cacheScope(const EngineRequest&, std::uint64_t version);

// Returns the scope's number in the beliefs about runners, which forget their parts with their weights.
std::uint64_t cacheScopeHash(const std::string& dedicatedOrganisation);

// Chooses a model runner by the earliest predicted first token and the least prompt to be read.
//
// A model of the engine: prompts are read one after another, more urgent ones first, at a speed learned from answers; less
// urgent prompts delay by the chunk in progress; requests beyond the slots or the memory wait for others to end.
//
// While an engine reads one chunk of prompts after another, its streams come to a pause, since an event holds several tokens and
// each of them waits for a chunk. So prompts are kept from following each other for as long as streams may pause; where that is
// not possible, they go where few streams run or where these pause already, and new streams keep away from there.
//
// Answers the load patterns "returning prompts with long shared parts", "a burst of long cheap prompts" (refused once their
// first token would be late, so that those admitted are in time), "a burst of short urgent prompts" (which wait only for
// their like), and "a quarter of the runners vanish" (the same rule over fewer runners).
class EnginePlacement {
public:
    explicit EnginePlacement(const EngineLimits&, Mechanisms = {});

    // `random` is uniform in 0 to 1 and spreads the returns of refused callers.
    PlacementResult choose(const EngineRequest&, const PlacementContext&, const BackendDirectory::RunnerList&, const CacheStores&, double random) const;

    // Records that a request was sent as placed, so that later prompts find its parts.
    void recordSend(const EngineRequest&, const Placement&, const CacheStores&, TimePoint now);

    // Learns from the measured first token: the runner's speed where nothing was waited for or fetched, and that of transfers.
    static void learn(const Placement&, const CacheStores&, std::chrono::milliseconds firstToken, TimePoint now);

private:
    struct Prediction {
        double firstMs = 0;
        double waitMs = 0;
        double readMs = 0;
        double fetchMs = 0;
        double nominalFetchMs = 0;
        // How long fetching may take.
        double fetchTimeMs = 0;
        std::int64_t uncachedTokens = 0;
        std::int64_t fetchTokens = 0;
        // How long the runner is busy reading the prompts that it has, of all ranks, and those less urgent than this one.
        double busyMs = 0;
        double lessUrgentMs = 0;
        std::int32_t requests = 0;
        // Whether the time to the first token tells the speed.
        bool isReadAtOnce = false;
        // Whether parts that could be fetched are read.
        bool isReadingInstead = false;
    };

    // What one choice is made from.
    struct Choice {
        const EngineRequest& request;
        const PlacementContext& context;
        BackendDirectory::RunnerList candidates;
        StreamSeparation::StreamShares streamShares;
        double fallbackSpeed = 0;
        // The factor by which machines of the candidates got slower lately at worst.
        double worstSlowdown = 1;
    };

    // A runner that was considered, and what it would cost, in ms of a first token.
    struct Candidate {
        std::shared_ptr<BackendState> runner;
        Prediction prediction;
        StreamEffect effect;
        double cost = 0;
    };

    // Where a prompt's parts are, found once for all candidates.
    struct PartHolders;
    struct Source;

    Prediction predict(const EngineRequest&, const BackendState&, const PartHolders&, TimePoint now, std::chrono::milliseconds goal,
        double fallbackSpeed) const;
    // Returns the runner that is preferred for parts that no host remembers, one on the prompt's own side of the separation.
    std::shared_ptr<BackendState> homeOf(const Choice&) const;
    // Returns the cost of a candidate, but for what depends on its place among the others.
    double costOf(const Choice&, const BackendState&, const Prediction&) const;
    std::optional<Candidate> best(const Choice&, const PartHolders&, double random) const;
    // Returns the refusal of a prompt whose best runner would be too late, or nothing.
    static std::optional<PlacementRefusal> refusalOf(const PlacementContext&, const Prediction&, double random);
    // Returns what the pauses cost that the prompt would make other streams take, and that it would take itself.
    static double pauseCost(const Prediction&, std::chrono::milliseconds longestPause);
    void planTransfers(const EngineRequest&, const PlacementContext&, const PartHolders&, const CacheStores&, Placement&) const;
    // Returns where a part is saved, or nullptr if some store has it or none has room. Hosts that save the same part at once choose
    // the same store, one in the runner's data centre if any has room.
    static const CacheContents* chooseStore(const CacheStores&, const CacheScope&, const PromptPart&, const std::string& dataCentre,
        const PlacementContext&);
    // Whether a prompt with this wait would begin in time on the runner's weights.
    static bool beginsInTime(const EngineRequest&, const PlacementContext&, const BackendState&, const Prediction&);
    bool isCandidate(const EngineRequest&, const PlacementContext&, const BackendState&) const;

    EngineLimits m_limits;
    Mechanisms m_mechanisms;
    // Time to fetch a token over a runner's link.
    double m_fetchMsPerToken;
    StreamSeparation m_separation;
};

}

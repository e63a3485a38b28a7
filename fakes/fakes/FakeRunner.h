#pragma once

#include "chiveshelf/http/Client.h"
#include "chiveshelf/http/Server.h"
#include "fakes/PrefixCache.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <set>

namespace fakes {

// Settings of a fake runner: speeds, capacities and faults.
struct FakeRunnerSettings {
    std::string version = "v1";
    int slots = 8;
    // Time to compute one prompt token (prefill). Concurrent prefills share this rate.
    std::chrono::microseconds perPromptToken { 20 };
    // Time to generate one token of the answer.
    std::chrono::milliseconds perOutputToken { 5 };
    std::size_t cacheBlocks = 64;
    std::int64_t blockTokens = 4'000;
    // Size of exported block data per token, in bytes.
    std::int64_t bytesPerToken = 64;
    std::chrono::milliseconds loadTime { 250 };
    // Interval between updates of the load report, and so its maximum age.
    std::chrono::milliseconds reportInterval { 100 };
    std::chrono::milliseconds eventDelay { 200 };
    int eventLossPercent = 5;
    std::uint32_t seed = 1;
    // If false, commands with an outdated fencing token are accepted.
    bool checksFencingToken = true;
    // A prompt that contains this text terminates the process.
    std::string crashMarker = "CRASH-THE-RUNNER";
};

// Fake of a model engine: continuous batching with slots and a priority queue, a prefix cache, import and export of blocks, and
// commands. Its answer is a deterministic function of the prompt, so that callers can verify it. The runner checks that each block
// it uses is complete and belongs to the request's owner, and reports violations in GET /control/stats.
class FakeRunner {
public:
    FakeRunner(boost::asio::io_context&, FakeRunnerSettings);

    chiveshelf::Result<void> start(const chiveshelf::Address&);

private:
    enum class SequenceState {
        Queued,
        Running,
        Done,
        Cancelled,
        WrongVersion,
    };

    struct Sequence {
        bool hasEnded() const { return state != SequenceState::Queued && state != SequenceState::Running; }

        std::string prompt;
        BlockOwner owner;
        std::vector<std::string> blocks;
        std::map<std::string, nlohmann::json> imports;
        std::string expectedVersion;
        int priority = 1;
        std::uint64_t arrivalNumber = 0;
        std::int64_t promptTokens = 0;
        std::int64_t cachedTokens = 0;
        std::int64_t importedTokens = 0;
        std::int64_t maxTokens = 0;
        std::int64_t producedTokens = 0;
        SequenceState state = SequenceState::Queued;
        std::vector<std::string> heldBlocks;
        // Timers of the coroutines in waitForChange(), cancelled at each change.
        std::set<boost::asio::steady_timer*> waiters;
        std::chrono::steady_clock::time_point endedAt;
    };
    using SequencePointer = std::shared_ptr<Sequence>;

    boost::asio::awaitable<void> handle(chiveshelf::http::Exchange&);
    boost::asio::awaitable<void> handleCompletion(chiveshelf::http::Exchange&);
    boost::asio::awaitable<void> handleStream(chiveshelf::http::Exchange&, const chiveshelf::http::Target&);
    boost::asio::awaitable<void> streamTokens(chiveshelf::http::Exchange&, std::string id, SequencePointer, std::int64_t offset);
    boost::asio::awaitable<void> waitForChange(SequencePointer, std::chrono::milliseconds limit);
    boost::asio::awaitable<void> run(SequencePointer);
    boost::asio::awaitable<void> prefill(SequencePointer);
    boost::asio::awaitable<bool> importBlock(SequencePointer, std::string key);
    boost::asio::awaitable<chiveshelf::http::Response> exportBlocks(std::string body);
    boost::asio::awaitable<void> loadWeights(std::string version, std::string adapter);
    boost::asio::awaitable<void> sampleLoad();
    chiveshelf::http::Response handleCommand(const std::string& body);
    chiveshelf::http::Response handleControl(const chiveshelf::http::Target&, const chiveshelf::http::Request&);
    nlohmann::json loadReport() const;
    void useCachedBlock(Sequence&, const std::string& key);
    void recordViolation(const std::string& text);
    void startQueued();
    void setState(Sequence&, SequenceState);
    static void wakeWaiters(Sequence&);

    boost::asio::io_context& m_context;
    FakeRunnerSettings m_settings;
    chiveshelf::http::Server m_server;
    chiveshelf::http::Client m_client;
    PrefixCache m_cache;
    std::map<std::string, SequencePointer> m_sequences;
    std::vector<SequencePointer> m_queue;
    int m_runningCount = 0;
    std::uint64_t m_lastArrivalNumber = 0;
    std::chrono::steady_clock::time_point m_computeFreeAt;
    // Number of sequences in prefill by priority, most urgent first. Like real engines, the runner computes more urgent prompts
    // first.
    std::map<int, int> m_prefillCounts;
    nlohmann::json m_report;
    std::string m_adapter;
    std::string m_role;
    int m_loadingCount = 0;
    std::int64_t m_fencingToken = 0;
    // Whether imported data is verified against the length and checksum of its record.
    bool m_checksImports = true;
    double m_slowFactor = 1;
    bool m_isStalled = false;
    std::map<std::string, std::int64_t> m_counters;
    nlohmann::json m_violations = nlohmann::json::array();
    nlohmann::json m_commands = nlohmann::json::array();
};

// Returns the text of token `index` of the answer to a prompt.
std::string answerToken(const std::string& prompt, std::int64_t index);

}

#pragma once

#include "chiveshelf/cache/BlockRecord.h"
#include "chiveshelf/core/Address.h"
#include "chiveshelf/core/Priority.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <concepts>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chiveshelf {

// The parameters of a completion, as they are sent to a runner.
struct CompletionRequest {
    std::string requestId;
    std::string organisation;
    std::string model;
    std::string prompt;
    std::int64_t maxTokens = 16;
    Priority priority = Priority::Standard;
    // Version of the weights. A runner with another version refuses the request with WrongVersion and NotRun.
    std::string expectedVersion;
    std::string adapter;
    // Keys of the prompt's complete blocks, in prompt order.
    std::vector<std::string> blocks;
    // Stored blocks that the runner imports instead of computing them.
    std::vector<BlockRecord> imports;
    // Time limit for the import of one block, after which the runner computes it.
    std::chrono::milliseconds importLimit { 0 };
    // Number of tokens that were already delivered to the caller. Generation continues after them.
    std::int64_t resumeFrom = 0;
    // False for a request that must not run twice. It is sent over a new connection, since a pooled one may have failed silently.
    bool mayRepeat = true;

    auto operator<=>(const CompletionRequest&) const = default;
};

// Token counts of a request, as the runner reports them when the request ends.
struct Usage {
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t importedTokens = 0;
    std::int64_t completionTokens = 0;

    auto operator<=>(const Usage&) const = default;
};

// One chunk of a token stream. `index` is the offset of its token in the response. The last chunk has a `finishReason` and may have
// a `usage`.
struct TokenChunk {
    std::int64_t index = 0;
    std::string text;
    std::string finishReason;
    std::optional<Usage> usage;

    bool isLast() const { return !finishReason.empty(); }
};

// The weights that a runner reports to have. The report can be as old as the runner's report interval.
struct RunnerStatus {
    std::string version;
    std::string adapter;
    bool isLoading = false;

    auto operator<=>(const RunnerStatus&) const = default;
};

// A command to a runner. A runner that checks fencing tokens refuses a command whose token is lower than the highest it has received.
struct RunnerCommand {
    std::uint64_t fencingToken = 0;
    // "load_version", "load_adapter" or "set_role".
    std::string command;
    std::string version;
    std::string adapter;
    std::string role;

    auto operator<=>(const RunnerCommand&) const = default;
};

// A token stream. next() returns the chunks in order, up to the one with isLast(). Fails with Timeout if no bytes arrive within the
// progress limit, and with Unavailable if the connection broke.
template <typename T>
concept TokenSource = requires(T& stream)
{
    {
        stream.next()
        } -> std::same_as<boost::asio::awaitable<Result<TokenChunk>>>;
};

// Interface to runners. The functions are described at HttpRunner.
template <typename T>
concept RunnerPort = requires(T& port, Address address, CompletionRequest request, std::string id, std::int64_t offset,
    RunnerCommand runnerCommand)
{
    typename T::Stream;
    requires TokenSource<typename T::Stream>;
    {
        port.start(address, request)
        } -> std::same_as<boost::asio::awaitable<Result<std::unique_ptr<typename T::Stream>>>>;
    {
        port.resume(address, id, offset)
        } -> std::same_as<boost::asio::awaitable<Result<std::unique_ptr<typename T::Stream>>>>;
    {
        port.cancel(address, id)
        } -> std::same_as<boost::asio::awaitable<Result<void>>>;
    {
        port.readStatus(address)
        } -> std::same_as<boost::asio::awaitable<Result<RunnerStatus>>>;
    {
        port.command(address, runnerCommand)
        } -> std::same_as<boost::asio::awaitable<Result<void>>>;
};

}

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

// A completion as it is sent to a runner.
struct CompletionRequest {
    std::string requestId;
    std::string organisation;
    std::string model;
    std::string prompt;
    std::int64_t maxTokens = 16;
    Priority priority = Priority::Standard;
    // The runner refuses with WrongVersion and NotRun if it has other weights.
    std::string expectedVersion;
    std::string adapter;
    // Keys of the prompt's whole blocks, first block first.
    std::vector<std::string> blocks;
    // Stored blocks that the runner imports in place of computing them.
    std::vector<BlockRecord> imports;
    // Time for the import of one block, after which the runner computes it.
    std::chrono::milliseconds importLimit { 0 };
    // Tokens that the caller already has from another runner; generation goes on after them.
    std::int64_t resumeFrom = 0;
    // False for a request that must not run twice: it is sent over a new connection, never over a pooled one that may be lost.
    bool mayRepeat = true;

    auto operator<=>(const CompletionRequest&) const = default;
};

// Token counts of a request, as the runner reports them at its end.
struct Usage {
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t importedTokens = 0;
    std::int64_t completionTokens = 0;

    auto operator<=>(const Usage&) const = default;
};

// One piece of a stream. `index` is the offset of its token in the answer. The last piece has `finishReason` and `usage`.
struct TokenChunk {
    std::int64_t index = 0;
    std::string text;
    std::string finishReason;
    std::optional<Usage> usage;

    bool isLast() const { return !finishReason.empty(); }
};

// A runner's own report about its weights. It may be as old as the runner's report interval.
struct RunnerStatus {
    std::string version;
    std::string adapter;
    bool isLoading = false;

    auto operator<=>(const RunnerStatus&) const = default;
};

// A command to a runner. A runner that checks refuses one whose fencing token is lower than the highest that it has seen.
struct RunnerCommand {
    std::uint64_t fencingToken = 0;
    // "load_version", "load_adapter" or "set_role".
    std::string command;
    std::string version;
    std::string adapter;
    std::string role;

    auto operator<=>(const RunnerCommand&) const = default;
};

// Port to a runner. A stream's next() returns pieces in order until one is last; it fails with Timeout when no bytes
// arrive for the progress limit and with Unavailable when the connection broke.
template <typename T>
concept TokenSource = requires(T& stream)
{
    {
        stream.next()
        } -> std::same_as<boost::asio::awaitable<Result<TokenChunk>>>;
};

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

#pragma once

#include "chiveshelf/cache/ExportManager.h"
#include "chiveshelf/http/Client.h"
#include "chiveshelf/http/SseParser.h"
#include "chiveshelf/runner/RunnerPort.h"

#include <deque>

namespace chiveshelf {

// The token stream of one request on a runner.
class HttpTokenStream {
public:
    explicit HttpTokenStream(std::unique_ptr<http::ResponseStream>);
    HttpTokenStream(const HttpTokenStream&) = delete;
    HttpTokenStream& operator=(const HttpTokenStream&) = delete;

    boost::asio::awaitable<Result<TokenChunk>> next();

private:
    std::unique_ptr<http::ResponseStream> m_response;
    http::SseParser m_parser;
};

// Adapter to runners that speak HTTP with server-sent events.
class HttpRunner {
public:
    using Stream = HttpTokenStream;

    HttpRunner(http::Client&, http::CallLimits);
    HttpRunner(const HttpRunner&) = delete;
    HttpRunner& operator=(const HttpRunner&) = delete;

    // Starts a completion and opens its token stream.
    boost::asio::awaitable<Result<std::unique_ptr<HttpTokenStream>>> start(Address, CompletionRequest);

    // Reopens the stream of a running or recently finished request, starting with the token at `offset`.
    boost::asio::awaitable<Result<std::unique_ptr<HttpTokenStream>>> resume(Address, std::string requestId, std::int64_t offset);

    boost::asio::awaitable<Result<void>> cancel(Address, std::string requestId);

    // Makes the runner write one block to a store. Fails with NotFound if the runner no longer has the block, and with
    // Overloaded if the store is full.
    boost::asio::awaitable<Result<BlockRecord>> exportBlock(Address, ExportRequest);

    // Reads the runner's report about its weights.
    boost::asio::awaitable<Result<RunnerStatus>> readStatus(Address);

    // Sends a command. Fails with Conflict and NotRun if the runner has received a higher fencing token.
    boost::asio::awaitable<Result<void>> command(Address, RunnerCommand);

private:
    boost::asio::awaitable<Result<std::unique_ptr<HttpTokenStream>>> openStream(Address, http::Request, http::CallLimits);

    http::Client& m_client;
    http::CallLimits m_limits;
};

static_assert(RunnerPort<HttpRunner>);

}

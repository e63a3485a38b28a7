#include "chiveshelf/entry/ServiceCall.h"

#include "chiveshelf/core/Hash.h"

#include <algorithm>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    constexpr http::CallLimits serviceLimits { std::chrono::milliseconds(300), std::chrono::milliseconds(5'000) };
    // Calls that may be repeated move on sooner.
    constexpr std::chrono::milliseconds repeatableProgress { 2'000 };
    constexpr std::size_t maximumAttempts = 2;

    // Headers that belong to one connection and are not passed on.
    constexpr std::string_view hopHeaders[] = { "Connection", "Keep-Alive", "Transfer-Encoding", "TE", "Trailer", "Upgrade", "Host",
        "Content-Length", "Proxy-Connection" };

    template <typename Message>
    void eraseHopHeaders(Message& message)
    {
        for (const auto name : hopHeaders)
            message.erase(boost::beast::string_view(name.data(), name.size()));
    }

}

ServiceCall::ServiceCall(http::Client& client, CallerHeaders headers, Pool pool, std::string dataCentre)
    : m_client(client)
    , m_headers(std::move(headers))
    , m_pool(std::move(pool))
    , m_dataCentre(std::move(dataCentre))
{
}

std::vector<Backend> ServiceCall::candidates() const
{
    auto out = m_pool.runners;
    const auto start = hash64(m_headers.requestId);
    if (!out.empty())
        std::rotate(out.begin(), out.begin() + static_cast<std::ptrdiff_t>(start % out.size()), out.end());
    std::stable_partition(out.begin(), out.end(), [&](const Backend& backend) { return backend.dataCentre == m_dataCentre; });
    return out;
}

asio::awaitable<Result<http::Response>> ServiceCall::run(const http::Request& original)
{
    const bool isIdempotentMethod = original.method() == http::Verb::get || original.method() == http::Verb::head
        || original.method() == http::Verb::options;
    const bool hasKey = !m_headers.idempotencyKey.empty();
    const bool mayRepeat = !hasKey && (isIdempotentMethod || m_pool.isRepeatable);
    auto limits = serviceLimits;
    // A pooled connection may have been lost without a sign; a call over it would end with an unknown outcome.
    limits.isReuseAllowed = mayRepeat;
    if (mayRepeat)
        limits.progress = repeatableProgress;
    Error last { ErrorCode::Unavailable, "no runner in pool '" + m_pool.name + "'", Verdict::NotRun, std::nullopt };
    std::size_t attempts = 0;
    for (const auto& backend : candidates()) {
        if (++attempts > maximumAttempts)
            break;
        auto request = original;
        eraseHopHeaders(request);
        request.set("X-Request-Id", m_headers.requestId);
        auto response = co_await m_client.send(backend.address, std::move(request), limits);
        if (response) {
            eraseHopHeaders(*response);
            response->set("X-Request-Id", m_headers.requestId);
            co_return response;
        }
        // The pooled connections to the next runner may have gone silent too, and it may just be slow.
        limits = serviceLimits;
        limits.isReuseAllowed = false;
        last.message = response.error().message;
        last.code = response.error().code;
        // Once one attempt may have run, a later one that did not run does not make it "not run".
        last.verdict = std::max(last.verdict, response.error().verdict);
        if (last.verdict != Verdict::NotRun && !mayRepeat)
            break;
    }
    co_return tl::unexpected(last);
}

}

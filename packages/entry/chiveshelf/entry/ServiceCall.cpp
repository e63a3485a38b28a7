#include "chiveshelf/entry/ServiceCall.h"

#include "chiveshelf/core/Hash.h"

#include <algorithm>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    constexpr http::CallLimits serviceLimits { std::chrono::milliseconds(300), std::chrono::milliseconds(5'000) };
    // Progress timeout of the first attempt of a call that may be repeated. It is shorter than the one in serviceLimits, so
    // that the call is sent to the next runner earlier.
    constexpr std::chrono::milliseconds repeatableProgressTimeout { 2'000 };
    constexpr std::size_t maxAttempts = 2;

    // Headers that apply to one connection only and are not forwarded.
    constexpr std::string_view hopByHopHeaders[] = { "Connection", "Keep-Alive", "Transfer-Encoding", "TE", "Trailer", "Upgrade", "Host",
        "Content-Length", "Proxy-Connection" };

    template <typename Message>
    void eraseHopByHopHeaders(Message& message)
    {
        for (const auto name : hopByHopHeaders)
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
    // A pooled connection may have failed silently; the outcome of a call over it would be unknown.
    limits.isReuseAllowed = mayRepeat;
    if (mayRepeat)
        limits.progress = repeatableProgressTimeout;
    Error lastError { ErrorCode::Unavailable, "no runner in pool '" + m_pool.name + "'", Verdict::NotRun, std::nullopt };
    std::size_t attempts = 0;
    for (const auto& backend : candidates()) {
        if (++attempts > maxAttempts)
            break;
        auto request = original;
        eraseHopByHopHeaders(request);
        request.set("X-Request-Id", m_headers.requestId);
        auto response = co_await m_client.send(backend.address, std::move(request), limits);
        if (response) {
            eraseHopByHopHeaders(*response);
            response->set("X-Request-Id", m_headers.requestId);
            co_return response;
        }
        // Further attempts use new connections, since pooled ones to the next runner may have failed silently too. They have the longer
        // progress timeout, since that runner may merely be slow.
        limits = serviceLimits;
        limits.isReuseAllowed = false;
        lastError.message = response.error().message;
        lastError.code = response.error().code;
        // If an earlier attempt may have run, a later attempt that did not run must not change the verdict to NotRun.
        lastError.verdict = std::max(lastError.verdict, response.error().verdict);
        if (lastError.verdict != Verdict::NotRun && !mayRepeat)
            break;
    }
    co_return tl::unexpected(lastError);
}

}

#include "endtoend/LoadClient.h"

#include "chiveshelf/http/Client.h"
#include "chiveshelf/http/SseParser.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <thread>

namespace bench {

namespace asio = boost::asio;
namespace http = chiveshelf::http;
using Clock = std::chrono::steady_clock;
using nlohmann::json;

namespace {

    // Limits for connecting and for each wait for bytes.
    constexpr http::CallLimits callLimits { std::chrono::milliseconds(1'000), std::chrono::milliseconds(40'000) };

    double millisecondsSince(Clock::time_point start)
    {
        return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
    }

    class LoadRun {
    public:
        LoadRun(asio::io_context& context, const std::vector<std::vector<chiveshelf::Address>>& hosts)
            : m_context(context)
            , m_client(context)
            , m_hosts(hosts)
            , m_start(Clock::now())
        {
        }

        asio::awaitable<void> send(const PlannedRequest& planned, Sample& sample)
        {
            asio::steady_timer timer(m_context, m_start + planned.startAt);
            boost::system::error_code ec;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            sample.priority = planned.priority;
            sample.isLargeOrganisation = planned.isLargeOrganisation;
            const auto start = Clock::now();
            auto response = co_await openOnAnyHost(planned);
            if (!response)
                co_return;
            sample.status = (*response)->status();
            co_await read(**response, start, sample);
            sample.totalMs = millisecondsSince(start);
        }

    private:
        asio::awaitable<chiveshelf::Result<std::unique_ptr<http::ResponseStream>>> openOnAnyHost(const PlannedRequest& planned)
        {
            const auto& hosts = m_hosts[planned.dataCentre];
            const json body { { "model", planned.model }, { "prompt", planned.prompt }, { "max_tokens", planned.maxTokens }, { "stream", true } };
            auto request = http::makeRequest(http::Verb::post, "/v1/completions", body.dump());
            request.set("X-Organisation", planned.organisation);
            request.set("X-Priority", std::string(chiveshelf::priorityName(planned.priority)));
            chiveshelf::Result<std::unique_ptr<http::ResponseStream>> result = chiveshelf::failure(chiveshelf::ErrorCode::Unavailable, "no host", chiveshelf::Verdict::NotRun);
            for (std::size_t i = 0; i < hosts.size(); ++i) {
                result = co_await m_client.open(hosts[m_next++ % hosts.size()], request, callLimits);
                if (result || result.error().verdict != chiveshelf::Verdict::NotRun)
                    break;
            }
            co_return std::move(result);
        }

        static asio::awaitable<void> read(http::ResponseStream& stream, Clock::time_point start, Sample& sample)
        {
            http::SseParser parser;
            std::string errorBody;
            int tokens = 0;
            double lastTokenMs = 0;
            while (true) {
                auto chunk = co_await stream.readSome();
                if (!chunk || chunk->empty())
                    break;
                if (sample.status != 200) {
                    errorBody += *chunk;
                    continue;
                }
                parser.append(*chunk);
                while (auto data = parser.next())
                    handleEvent(*data, start, sample, tokens, lastTokenMs);
            }
            if (tokens > 1)
                sample.tokenGapMs = (lastTokenMs - sample.firstTokenMs) / (tokens - 1);
            const auto error = json::parse(errorBody, nullptr, false);
            if (error.is_object() && error.contains("error"))
                sample.errorCode = error["error"].value("code", "");
        }

        static void handleEvent(const std::string& data, Clock::time_point start, Sample& sample, int& tokens, double& lastTokenMs)
        {
            if (data == "[DONE]") {
                sample.isComplete = true;
                return;
            }
            const auto event = json::parse(data, nullptr, false);
            if (event.contains("error")) {
                sample.errorCode = event["error"].value("code", "");
                return;
            }
            if (event.contains("usage")) {
                sample.promptTokens = event["usage"].value("prompt_tokens", std::int64_t { 0 });
                const auto& details = event["usage"]["prompt_tokens_details"];
                sample.reusedTokens = details.value("cached_tokens", std::int64_t { 0 }) + details.value("imported_tokens", std::int64_t { 0 });
                return;
            }
            lastTokenMs = millisecondsSince(start);
            if (tokens++ == 0)
                sample.firstTokenMs = lastTokenMs;
        }

        asio::io_context& m_context;
        http::Client m_client;
        const std::vector<std::vector<chiveshelf::Address>>& m_hosts;
        Clock::time_point m_start;
        std::size_t m_next = 0;
    };

}

std::vector<Sample> runLoad(const std::vector<PlannedRequest>& requests, const std::vector<std::vector<chiveshelf::Address>>& hosts,
    std::vector<TimedAction> actions)
{
    asio::io_context context(1);
    LoadRun run(context, hosts);
    std::vector<Sample> samples(requests.size());
    for (std::size_t i = 0; i < requests.size(); ++i)
        asio::co_spawn(context, run.send(requests[i], samples[i]), asio::detached);
    const auto start = Clock::now();
    std::thread actionThread([&] {
        for (const auto& action : actions) {
            std::this_thread::sleep_until(start + action.at);
            action.run();
        }
    });
    context.run();
    actionThread.join();
    return samples;
}

}

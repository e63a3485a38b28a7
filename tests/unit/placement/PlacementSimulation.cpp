#include "PlacementSimulation.h"

#include <algorithm>
#include <cmath>
#include <list>

namespace simulation {

namespace {

    using namespace chiveshelf;
    using std::chrono::milliseconds;

    const TimePoint start = TimePoint() + std::chrono::seconds(1'000);
    constexpr milliseconds hostNoticeDelay { 1 };
    constexpr milliseconds loadNoticeInterval { 150 };

    TimePoint::duration fromMs(double ms)
    {
        return std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double, std::milli>(ms));
    }

    struct Request {
        std::size_t kind = 0;
        Prompt prompt;
        TimePoint arrivedAt;
        std::size_t host = 0;
        Placement placement;
        OutstandingWork work;
        std::int64_t tokensToPrefill = 0;
        std::int64_t generatedTokens = 0;
        std::int64_t tokensSinceEvent = 0;
        TimePoint eventAt {};
        milliseconds timeToFirstToken { 0 };
        milliseconds maxPause { 0 };
    };

    using RequestPtr = std::shared_ptr<Request>;

    struct Engine {
        std::vector<RequestPtr> waiting;
        std::vector<RequestPtr> running;
        PartCacheModel parts { 0 };
        bool isStepping = false;
    };

    struct Host {
        BackendDirectory::RunnerList runners;
        EnginePlacement placement;
    };

    class Simulation {
    public:
        explicit Simulation(const Scenario& scenario)
            : m_scenario(scenario)
            , m_random(scenario.seed)
            , m_outcomes(scenario.kinds.size())
        {
            const auto& model = scenario.engines;
            m_engines.resize(static_cast<std::size_t>(model.count));
            for (auto& engine : m_engines)
                engine.parts.setCapacity(model.memoryTokens);
            for (int i = 0; i < scenario.hosts; ++i)
                m_hosts.push_back({ makeRunners(), EnginePlacement(limits(), scenario.mechanisms, scenario.learnsCapacity) });
        }

        std::vector<Outcome> run()
        {
            for (std::size_t i = 0; i < m_scenario.kinds.size(); ++i)
                scheduleArrival(i);
            at(m_now + loadNoticeInterval, [this] { sendLoadNotices(); });
            while (!m_events.empty()) {
                auto event = m_events.top();
                m_events.pop();
                m_now = event.at;
                event.run();
            }
            return m_outcomes;
        }

    private:
        struct Event {
            TimePoint at;
            std::uint64_t number;
            std::function<void()> run;

            bool operator<(const Event& other) const { return std::tie(other.at, other.number) < std::tie(at, number); }
        };

        void at(TimePoint time, std::function<void()> run) { m_events.push({ time, ++m_eventCount, std::move(run) }); }

        EngineLimits limits() const
        {
            EngineLimits out;
            out.slots = static_cast<unsigned>(m_scenario.engines.slots);
            out.memoryTokens = m_scenario.engines.memoryTokens;
            out.bytesPerToken = 163'840;
            out.linkMbps = 550'000;
            return out;
        }

        BackendDirectory::RunnerList makeRunners() const
        {
            BackendDirectory::RunnerList out;
            for (int i = 0; i < m_scenario.engines.count; ++i) {
                RunnerRecord record;
                record.id = "engine-" + std::to_string(i);
                record.pool = "pool";
                record.address = { "10.0.0." + std::to_string(i + 1), 80 };
                record.dataCentre = "dc-" + std::to_string(i % m_scenario.engines.dataCentres);
                record.slots = m_scenario.engines.slots;
                record.modelVersions["m"] = 1;
                out.push_back(std::make_shared<BackendState>(record, m_scenario.engines.memoryTokens));
            }
            return out;
        }

        bool isOver() const { return m_now - start > m_scenario.length; }

        void scheduleArrival(std::size_t kind)
        {
            std::exponential_distribution<double> gap(m_scenario.kinds[kind].perSecond / 1'000);
            at(m_now + fromMs(gap(m_random)), [this, kind] {
                if (isOver())
                    return;
                arrive(kind);
                scheduleArrival(kind);
            });
        }

        void arrive(std::size_t kindIndex)
        {
            const auto& kind = m_scenario.kinds[kindIndex];
            auto request = std::make_shared<Request>();
            request->kind = kindIndex;
            request->arrivedAt = m_now;
            request->host = std::uniform_int_distribution<std::size_t>(0, m_hosts.size() - 1)(m_random);
            const auto conversation = std::uniform_int_distribution<std::uint64_t>(1, static_cast<std::uint64_t>(kind.conversations))(m_random);
            request->prompt.model = "m";
            request->prompt.promptTokens = kind.sharedTokens + kind.ownTokens;
            request->prompt.outputTokens = kind.outputTokens;
            request->prompt.parts = { { (kindIndex + 1) * 1'000'000 + conversation, kind.sharedTokens }, { 100'000'000 + ++m_requestCount, kind.ownTokens } };
            ++m_outcomes[kindIndex].requests;
            choose(request);
        }

        void choose(const RequestPtr& request)
        {
            const auto& kind = m_scenario.kinds[request->kind];
            auto& host = m_hosts[request->host];
            EngineRequest engineRequest;
            engineRequest.prompt = &request->prompt;
            engineRequest.priority = kind.priority;
            PlacementContext context;
            context.now = m_now;
            context.bootNow = m_now.time_since_epoch();
            context.dataCentre = "dc-" + std::to_string(static_cast<int>(request->host) % m_scenario.engines.dataCentres);
            context.goal = kind.goal;
            context.longestPause = kind.longestPause;
            context.timeLeft = kind.timeLimit;
            context.jitterMs = 5;
            context.nearJitterMs = std::min(0.6 * static_cast<double>(m_hosts.size()), 5.0);
            const auto result = host.placement.choose(engineRequest, context, host.runners, {}, std::uniform_real_distribution<double>(0, 1)(m_random));
            if (!result) {
                ++m_outcomes[request->kind].refused;
                return;
            }
            request->placement = *result;
            request->work = result->work;
            result->runner->addWork(request->work);
            result->runner->health().onSent(result->predicted, m_now);
            host.placement.recordSend(engineRequest, *result, {}, m_now);
            sendPlacementNotice(*request, kind.priority);
            enqueue(request);
        }

        std::size_t engineOf(const Request& request) const
        {
            const auto& runners = m_hosts[request.host].runners;
            return static_cast<std::size_t>(std::find(runners.begin(), runners.end(), request.placement.runner) - runners.begin());
        }

        void sendPlacementNotice(const Request& request, unsigned priority)
        {
            const auto engine = engineOf(request);
            const PlacedPrompt prompt { priority, request.placement.prefill, request.placement.predictedFetch, request.work.memoryTokens[priorityClass(priority)] };
            const auto part = request.prompt.parts.front();
            at(m_now + hostNoticeDelay, [this, engine, prompt, part, from = request.host] {
                for (std::size_t i = 0; i < m_hosts.size(); ++i) {
                    if (i == from)
                        continue;
                    m_hosts[i].runners[engine]->addPeerPrompt(from + 1, prompt, m_now);
                    m_hosts[i].runners[engine]->cachedParts().touch(part, 0);
                }
            });
        }

        void sendLoadNotices()
        {
            for (std::size_t from = 0; from < m_hosts.size(); ++from) {
                sendCapacities(from);
                for (std::size_t to = 0; to < m_hosts.size(); ++to) {
                    for (std::size_t i = 0; from != to && i < m_engines.size(); ++i) {
                        auto& receiver = *m_hosts[to].runners[i];
                        const auto& sender = *m_hosts[from].runners[i];
                        auto work = sender.ownWork();
                        work.prefillTokens = {};
                        work.fetchTokens = 0;
                        receiver.setPeerWork(from + 1, work, m_now);
                        receiver.setWorkTime(sender.workPercent(), sender.workTimeAt());
                    }
                }
            }
            if (!isOver())
                at(m_now + loadNoticeInterval, [this] { sendLoadNotices(); });
        }

        void sendCapacities(std::size_t from)
        {
            for (std::size_t i = 0; i < m_engines.size(); ++i) {
                for (const auto& sample : m_hosts[from].runners[i]->capacity().takeOwnSamples()) {
                    for (std::size_t to = 0; to < m_hosts.size(); ++to) {
                        if (to != from)
                            m_hosts[to].runners[i]->capacity().addPeerSample(sample, m_now);
                    }
                }
            }
        }

        void enqueue(const RequestPtr& request)
        {
            const auto i = engineOf(*request);
            m_engines[i].waiting.push_back(request);
            startStep(i);
        }

        double slowdown(std::size_t engine) const
        {
            const auto period = static_cast<std::uint64_t>((m_now - start) / m_scenario.engines.slowPeriod);
            std::mt19937_64 draw(m_scenario.seed * 1'000'003 + engine * 7'919 + period);
            return std::uniform_real_distribution<double>(0, 1)(draw) < m_scenario.engines.slowShare ? m_scenario.engines.slowFactor : 1;
        }

        bool isSilent(std::size_t engine) const
        {
            const auto& model = m_scenario.engines;
            const auto time = m_now - start;
            return static_cast<int>(engine) < model.silentCount && time >= model.silentFrom && time < model.silentUntil;
        }

        void startStep(std::size_t i)
        {
            auto& engine = m_engines[i];
            if (engine.isStepping || (engine.waiting.empty() && engine.running.empty()))
                return;
            engine.isStepping = true;
            if (isSilent(i)) {
                at(start + m_scenario.engines.silentUntil, [this, i] {
                    m_engines[i].isStepping = false;
                    startStep(i);
                });
                return;
            }
            admit(engine);
            auto budget = m_scenario.engines.chunkTokens;
            for (const auto& request : engine.running) {
                const auto chunk = std::min(budget, request->tokensToPrefill);
                request->tokensToPrefill -= chunk;
                budget -= chunk;
            }
            const auto& model = m_scenario.engines;
            const auto prefillMs = static_cast<double>(model.chunkTokens - budget) / model.tokensPerMs;
            const auto ms = (model.stepMs + model.stepMsPerStream * static_cast<double>(engine.running.size()) + prefillMs) * slowdown(i) * model.slowness[i % model.slowness.size()];
            at(m_now + fromMs(ms), [this, i] { endStep(i); });
        }

        void admit(Engine& engine)
        {
            std::stable_sort(engine.waiting.begin(), engine.waiting.end(),
                [&](const auto& a, const auto& b) { return m_scenario.kinds[a->kind].priority < m_scenario.kinds[b->kind].priority; });
            while (!engine.waiting.empty() && static_cast<int>(engine.running.size()) < m_scenario.engines.slots) {
                const auto request = engine.waiting.front();
                engine.waiting.erase(engine.waiting.begin());
                request->tokensToPrefill = std::max<std::int64_t>(request->prompt.promptTokens - engine.parts.cachedTokens(request->prompt.parts, 0), 1);
                engine.running.push_back(request);
            }
        }

        void endStep(std::size_t i)
        {
            auto& engine = m_engines[i];
            engine.isStepping = false;
            auto running = std::exchange(engine.running, {});
            for (const auto& request : running) {
                if (request->tokensToPrefill == 0)
                    generateToken(engine, i, *request);
                if (request->generatedTokens < request->prompt.outputTokens)
                    engine.running.push_back(request);
                else
                    finish(*request);
            }
            startStep(i);
        }

        void generateToken(Engine& engine, std::size_t i, Request& request)
        {
            ++request.generatedTokens;
            ++request.tokensSinceEvent;
            const bool isFirst = request.generatedTokens == 1;
            if (isFirst) {
                for (const auto& part : request.prompt.parts)
                    engine.parts.touch(part, 0);
                onFirstToken(request, i);
            }
            const bool isEvent = isFirst || request.tokensSinceEvent >= m_scenario.engines.tokensPerEvent || request.generatedTokens == request.prompt.outputTokens;
            if (!isEvent)
                return;
            if (!isFirst)
                request.maxPause = std::max(request.maxPause, std::chrono::duration_cast<milliseconds>(m_now - request.eventAt));
            request.eventAt = m_now;
            request.tokensSinceEvent = 0;
        }

        void onFirstToken(Request& request, std::size_t engine)
        {
            auto& runner = *request.placement.runner;
            request.timeToFirstToken = std::chrono::duration_cast<milliseconds>(m_now - request.arrivedAt);
            OutstandingWork prefilledWork;
            prefilledWork.prefillTokens = std::exchange(request.work.prefillTokens, {});
            prefilledWork.fetchTokens = std::exchange(request.work.fetchTokens, 0);
            runner.removeWork(prefilledWork);
            runner.health().onDataReceived(m_now);
            LoadReport report;
            report.running = static_cast<std::int32_t>(m_engines[engine].running.size());
            report.waiting = static_cast<std::int32_t>(m_engines[engine].waiting.size());
            report.slots = m_scenario.engines.slots;
            report.workPercent = static_cast<std::int32_t>(slowdown(engine) * 100);
            runner.setLoadReport(report, m_now);
            EnginePlacement::learn(request.placement, {}, request.timeToFirstToken, m_now);
        }

        void finish(Request& request)
        {
            request.placement.runner->removeWork(request.work);
            request.placement.runner->health().onEnded(false, m_now);
            const auto& kind = m_scenario.kinds[request.kind];
            auto& outcome = m_outcomes[request.kind];
            if (request.timeToFirstToken > kind.goal)
                ++outcome.lateFirstToken;
            else if (kind.longestPause.count() > 0 && request.maxPause > kind.longestPause)
                ++outcome.latePause;
            else
                ++outcome.inTime;
        }

        const Scenario& m_scenario;
        std::mt19937_64 m_random;
        std::vector<Outcome> m_outcomes;
        std::vector<Engine> m_engines;
        std::vector<Host> m_hosts;
        std::priority_queue<Event> m_events;
        std::uint64_t m_eventCount = 0;
        std::uint64_t m_requestCount = 0;
        TimePoint m_now = start;
    };

}

std::vector<Outcome> simulate(const Scenario& scenario)
{
    return Simulation(scenario).run();
}

}

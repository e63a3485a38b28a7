#include "endtoend/Workload.h"

#include <algorithm>
#include <random>

namespace bench {

using chiveshelf::Priority;
using std::chrono::milliseconds;

namespace {

    constexpr int organisationCount = 10;
    constexpr int largeOrganisationCount = 2;
    constexpr int conversationsPerOrganisation = 6;
    // Two complete blocks of 4,000 tokens and a remainder that is always computed.
    constexpr std::size_t conversationTokens = 9'000;
    constexpr std::size_t bytesPerToken = 4;
    constexpr std::size_t newPromptTokens = 1'500;
    constexpr double deskPoolShare = 0.2;
    constexpr auto warmUpInterval = milliseconds(45);

    std::string organisationName(int index)
    {
        return "org-" + std::to_string(index);
    }

    std::string repeatedText(const std::string& unit, std::size_t bytes)
    {
        std::string out;
        out.reserve(bytes + unit.size());
        while (out.size() < bytes)
            out += unit;
        out.resize(bytes);
        return out;
    }

    std::string conversationPrompt(int organisation, int conversation)
    {
        const auto unit = organisationName(organisation) + " conversation " + std::to_string(conversation) + " context. ";
        return repeatedText(unit, conversationTokens * bytesPerToken);
    }

    class Planner {
    public:
        Planner(const Scenario& scenario, const Deployment& deployment, std::uint64_t seed)
            : m_scenario(scenario)
            , m_deployment(deployment)
            , m_random(seed)
        {
        }

        void addClass(Priority priority, double rate, milliseconds duration, std::vector<PlannedRequest>& out)
        {
            if (rate <= 0)
                return;
            std::exponential_distribution<double> gap(rate);
            double seconds = gap(m_random);
            while (seconds * 1000 < static_cast<double>(duration.count())) {
                out.push_back(drawRequest(priority, milliseconds(static_cast<std::int64_t>(seconds * 1000))));
                seconds += gap(m_random);
            }
        }

    private:
        PlannedRequest drawRequest(Priority priority, milliseconds startAt)
        {
            PlannedRequest request;
            request.startAt = startAt;
            request.priority = priority;
            request.isLargeOrganisation = drawBool(m_scenario.largeShare);
            const int organisation = request.isLargeOrganisation
                ? drawInt(0, largeOrganisationCount - 1)
                : drawInt(largeOrganisationCount, organisationCount - 1);
            request.organisation = organisationName(organisation);
            request.model = drawBool(deskPoolShare) ? m_deployment.deskPool : m_deployment.mainPool;
            const int conversation = drawInt(0, conversationsPerOrganisation - 1);
            const auto suffix = " request " + std::to_string(m_random());
            if (drawBool(m_scenario.returningShare))
                request.prompt = conversationPrompt(organisation, conversation) + suffix;
            else
                request.prompt = repeatedText(suffix, newPromptTokens * bytesPerToken);
            request.dataCentre = static_cast<std::size_t>(drawInt(0, static_cast<int>(m_deployment.dataCentres.size()) - 1));
            return request;
        }

        bool drawBool(double probability) { return std::bernoulli_distribution(probability)(m_random); }
        int drawInt(int low, int high) { return std::uniform_int_distribution<int>(low, high)(m_random); }

        const Scenario& m_scenario;
        const Deployment& m_deployment;
        std::mt19937_64 m_random;
    };

}

Deployment makeDeployment(const std::string& name)
{
    if (name == "glowline")
        return { name, { "kgn-east", "kgn-west", "spanish-town" }, "lantern-voice", 12, "stall-desk", 3, { "shelf-a", "shelf-b" }, milliseconds(200) };
    return { "pellham", { "hartford", "providence", "worcester" }, "rota-models", 9, "rota-desk", 3, { "shelf-east", "shelf-west" }, milliseconds(300) };
}

std::vector<Scenario> makeScenarios()
{
    const std::vector<std::string> all { "chiveshelf", "round-robin", "least-loaded", "first-come" };
    const std::vector<std::string> withoutStore { "chiveshelf", "round-robin", "no-store" };
    return {
        { "returning", "prompts that return after their blocks were evicted", 4, 6, 2, 0.5, 0.9, Disturbance::None, { "chiveshelf", "round-robin", "least-loaded", "first-come", "no-store" } },
        { "batch-flood", "flood of the least urgent work", 4, 4, 250, 0.5, 0.4, Disturbance::None, all },
        { "urgent-flood", "urgent work at several times the capacity", 300, 4, 4, 0.5, 0.4, Disturbance::None, all },
        { "heavy-organisations", "a few organisations ask for far more than the rest", 0, 250, 0, 0.9, 0.4, Disturbance::None, all },
        { "store-lost", "a store host dies", 4, 6, 2, 0.5, 0.9, Disturbance::StoreLost, withoutStore },
        { "slow-link", "the store's link slows to a tenth", 4, 6, 2, 0.5, 0.9, Disturbance::SlowLink, withoutStore },
        { "host-killed", "an entry host is killed in a flood of batch work", 4, 4, 200, 0.5, 0.4, Disturbance::HostKilled, all },
        { "weight-swap", "the pool's version changes under load", 4, 6, 2, 0.5, 0.6, Disturbance::WeightSwap, { "chiveshelf", "round-robin" } },
    };
}

std::vector<PlannedRequest> planRequests(const Scenario& scenario, const Deployment& deployment, milliseconds duration, std::uint64_t seed)
{
    Planner planner(scenario, deployment, seed);
    std::vector<PlannedRequest> out;
    planner.addClass(Priority::Urgent, scenario.urgentRate, duration, out);
    planner.addClass(Priority::Standard, scenario.standardRate, duration, out);
    planner.addClass(Priority::Batch, scenario.batchRate, duration, out);
    std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.startAt < b.startAt; });
    return out;
}

std::vector<PlannedRequest> planWarmUp(const Scenario&, const Deployment& deployment, std::uint64_t seed)
{
    std::vector<PlannedRequest> out;
    std::mt19937_64 random(seed);
    for (int organisation = 0; organisation < organisationCount; ++organisation) {
        for (int conversation = 0; conversation < conversationsPerOrganisation; ++conversation) {
            PlannedRequest request;
            request.startAt = warmUpInterval * static_cast<int>(out.size());
            request.organisation = organisationName(organisation);
            request.model = deployment.mainPool;
            request.prompt = conversationPrompt(organisation, conversation);
            // The least urgent class, so that no policy refuses requests of the warm-up.
            request.priority = Priority::Batch;
            request.maxTokens = 1;
            request.dataCentre = random() % deployment.dataCentres.size();
            request.isMeasured = false;
            out.push_back(request);
        }
    }
    return out;
}

}

#include "chiveshelf/scheduling/ClassQueue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace chiveshelf {

namespace {

    // Cost of an output token in prompt tokens: decoding a token occupies a runner longer than prefilling one.
    constexpr double costPerOutputToken = 4;
    constexpr double importCostPerMs = 2;
    constexpr double quantumSmoothingFactor = 0.1;
    constexpr double minimumQuantum = 16;
    // Requests tried per organisation, because the first one may be unable to start, for instance due to its excluded runners.
    constexpr std::size_t maximumTriedRequests = 4;

}

double ClassQueue::cost(std::int64_t computedTokens, std::int64_t outputTokens, EstimatedTime import)
{
    return static_cast<double>(computedTokens) + costPerOutputToken * static_cast<double>(outputTokens) + importCostPerMs * import.count();
}

double ClassQueue::fullCost(const QueuedRequest& request)
{
    return cost(request.promptTokens, request.maxTokens, EstimatedTime(0));
}

void ClassQueue::push(QueuedRequest request)
{
    auto& organisation = m_organisations[request.organisation];
    organisation.name = request.organisation;
    organisation.weight = std::max(request.weight, 1);
    m_organisationOf[request.id] = request.organisation;
    if (organisation.waiting.empty())
        m_round.push_back(&organisation);
    organisation.waiting.push_back(std::move(request));
    ++m_size;
}

std::optional<QueuedRequest> ClassQueue::remove(const std::string& requestId)
{
    const auto owner = m_organisationOf.find(requestId);
    if (owner == m_organisationOf.end())
        return std::nullopt;
    auto& organisation = m_organisations[owner->second];
    m_organisationOf.erase(owner);
    auto& waiting = organisation.waiting;
    const auto it = std::find_if(waiting.begin(), waiting.end(), [&](const QueuedRequest& request) { return request.id == requestId; });
    auto out = std::move(*it);
    waiting.erase(it);
    --m_size;
    leaveRoundIfEmpty(organisation);
    return out;
}

void ClassQueue::leaveRoundIfEmpty(Organisation& organisation)
{
    if (!organisation.waiting.empty())
        return;
    m_round.erase(std::find(m_round.begin(), m_round.end(), &organisation));
    // An idle organisation keeps its debt but no positive deficit.
    organisation.deficit = std::min(organisation.deficit, 0.0);
    organisation.isCreditedThisTurn = false;
}

std::optional<QueuedRequest> ClassQueue::takeFrom(Organisation& organisation, const StartCost& startCost)
{
    for (std::size_t i = 0; i < std::min(maximumTriedRequests, organisation.waiting.size()); ++i) {
        const auto cost = startCost(organisation.waiting[i]);
        if (!cost)
            continue;
        m_quantum = std::max(m_quantum + quantumSmoothingFactor * (fullCost(organisation.waiting[i]) - m_quantum), minimumQuantum);
        organisation.deficit = std::max(organisation.deficit - *cost, -debtLimit * organisation.weight);
        return remove(organisation.waiting[i].id);
    }
    return std::nullopt;
}

std::optional<QueuedRequest> ClassQueue::take(const StartCost& startCost)
{
    ++m_takeCalls;
    while (true) {
        double missingRounds = std::numeric_limits<double>::infinity();
        for (std::size_t n = m_round.size(); n > 0; --n) {
            auto& organisation = *m_round.front();
            const auto credit = m_quantum * organisation.weight;
            if (organisation.blockedInCall != m_takeCalls) {
                const auto needed = fullCost(organisation.waiting.front());
                if (!organisation.isCreditedThisTurn)
                    organisation.deficit = std::min(organisation.deficit + credit, needed + credit);
                organisation.isCreditedThisTurn = true;
                if (organisation.deficit >= needed) {
                    if (auto request = takeFrom(organisation, startCost))
                        return request;
                    organisation.blockedInCall = m_takeCalls;
                } else {
                    missingRounds = std::min(missingRounds, std::ceil((needed - organisation.deficit) / credit));
                }
            }
            organisation.isCreditedThisTurn = organisation.blockedInCall == m_takeCalls;
            m_round.pop_front();
            m_round.push_back(&organisation);
        }
        if (std::isinf(missingRounds))
            return std::nullopt;
        // Credits in one step the rounds in which no organisation can afford a request; the next pass credits the round after them.
        for (auto* organisation : m_round) {
            if (organisation->blockedInCall != m_takeCalls)
                organisation->deficit += (missingRounds - 1) * m_quantum * organisation->weight;
        }
    }
}

void ClassQueue::correctCharge(const std::string& name, double charged, double actual)
{
    const auto it = m_organisations.find(name);
    if (it == m_organisations.end())
        return;
    auto& organisation = it->second;
    const auto limit = debtLimit * organisation.weight;
    organisation.deficit = std::clamp(organisation.deficit + charged - actual, -limit, limit);
    if (organisation.waiting.empty())
        organisation.deficit = std::min(organisation.deficit, 0.0);
}

void ClassQueue::forEach(const std::function<void(const QueuedRequest&, std::size_t)>& visit) const
{
    for (std::size_t position = 0; position < m_round.size(); ++position) {
        const auto& waiting = m_round[position]->waiting;
        for (std::size_t i = 0; i < waiting.size(); ++i)
            visit(waiting[i], std::min(m_size - 1, i * m_round.size() + position));
    }
}

std::size_t ClassQueue::rankOfNext(const std::string& name) const
{
    const auto it = m_organisations.find(name);
    const auto own = it == m_organisations.end() ? 0 : it->second.waiting.size();
    const auto active = m_round.size() + (own == 0 ? 1 : 0);
    return std::min(m_size, (own + 1) * active - 1);
}

void ClassQueue::removeIdleOrganisations()
{
    std::erase_if(m_organisations, [](const auto& entry) { return entry.second.waiting.empty() && entry.second.deficit >= 0; });
    // An organisation without waiting requests pays off one quantum of its debt per call.
    for (auto& [name, organisation] : m_organisations) {
        if (organisation.waiting.empty())
            organisation.deficit = std::min(organisation.deficit + m_quantum * organisation.weight, 0.0);
    }
}

std::vector<OrganisationState> ClassQueue::organisations() const
{
    std::vector<OrganisationState> out;
    for (const auto& [name, organisation] : m_organisations)
        out.push_back({ name, organisation.waiting.size(), organisation.deficit });
    std::sort(out.begin(), out.end());
    return out;
}

}

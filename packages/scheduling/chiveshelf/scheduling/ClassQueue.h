#pragma once

#include "chiveshelf/scheduling/QueuedRequest.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace chiveshelf {

// The state of one organisation's queue, for state dumps and tests.
struct OrganisationState {
    std::string organisation;
    std::size_t waiting = 0;
    double deficit = 0;

    auto operator<=>(const OrganisationState&) const = default;
};

// The waiting requests of one priority class, served by deficit round robin over organisations. Costs are in tokens. Push
// requests, take() them in order of service, and call correctCharge() when the actual cost is known.
class ClassQueue {
public:
    // Returns the cost of a request in tokens if it can start now, otherwise nullopt.
    using StartCost = std::function<std::optional<double>(const QueuedRequest&)>;

    // Largest debt (negative deficit) of an organisation in tokens per unit of weight. Without this limit one request whose
    // cost was estimated far too low would block its organisation for minutes.
    static constexpr double debtLimit = 65'536;

    void push(QueuedRequest);
    std::optional<QueuedRequest> remove(const std::string& requestId);

    // Dequeues the next request for which `startCost` returns a cost, and charges the cost to its organisation. An organisation
    // whose first requests cannot start is skipped and keeps its place in the round.
    std::optional<QueuedRequest> take(const StartCost& startCost);

    // Replaces a charged cost by the actual one in the organisation's deficit, within the bounds of the deficit.
    void correctCharge(const std::string& organisation, double charged, double actual);

    // Calls `visit` for each waiting request with its rank: the number of requests that are expected to be served before it.
    void forEach(const std::function<void(const QueuedRequest&, std::size_t rank)>& visit) const;

    // Returns the rank that a new request of the organisation would have.
    std::size_t rankOfNext(const std::string& organisation) const;

    // Removes organisations with neither waiting requests nor debt, so that memory use does not grow with every organisation
    // that ever called. Each call also reduces the debt of each organisation without waiting requests by one quantum.
    void removeIdleOrganisations();

    // Tokens credited per round to an organisation of weight 1: the moving average of the costs of recent requests. With a
    // fixed quantum of 1,024 a heavy organisation ran twelve requests of 83 tokens per turn while small ones waited.
    double quantum() const { return m_quantum; }

    std::size_t size() const { return m_size; }
    std::vector<OrganisationState> organisations() const;

    // Returns the expected cost of a request in tokens when nothing is cached.
    static double fullCost(const QueuedRequest&);
    // Returns the cost in tokens of computed prompt tokens, output tokens and the time of an import.
    static double cost(std::int64_t computedTokens, std::int64_t outputTokens, EstimatedTime import);

private:
    struct Organisation {
        std::string name;
        std::deque<QueuedRequest> waiting;
        double deficit = 0;
        int weight = 1;
        bool isCreditedThisTurn = false;
        // Value of m_takeCalls in the latest take() in which none of the organisation's first requests could start.
        std::uint64_t blockedInCall = 0;
    };

    std::optional<QueuedRequest> takeFrom(Organisation&, const StartCost&);
    void leaveRoundIfEmpty(Organisation&);

    std::unordered_map<std::string, Organisation> m_organisations;
    // Organisations with waiting requests, next one first. Pointers to elements of an unordered_map stay valid on insertion.
    std::deque<Organisation*> m_round;
    std::unordered_map<std::string, std::string> m_organisationOf;
    std::size_t m_size = 0;
    double m_quantum = 1'024;
    std::uint64_t m_takeCalls = 0;
};

}

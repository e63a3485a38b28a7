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
// requests, take() them in order of service, and correct() the charge when the real cost is known.
class ClassQueue {
public:
    // Decides whether a request can start now and, if so, returns its cost.
    using Serve = std::function<std::optional<double>(const QueuedRequest&)>;

    // Bound of an organisation's debt per weight. Without it one request whose cost was estimated far too low would shut
    // its organisation out for minutes.
    static constexpr double debtLimit = 65'536;

    void push(QueuedRequest);
    std::optional<QueuedRequest> remove(const std::string& requestId);

    // Takes the next request in order for which `serve` returns a cost, and charges it. An organisation whose first
    // requests can not start is passed over and keeps its place.
    std::optional<QueuedRequest> take(const Serve& serve);

    // Adds the difference between the charged and the real cost to the organisation's deficit, within its bounds.
    void correct(const std::string& organisation, double charged, double real);

    // Calls `visit` for each waiting request with its rank: how many requests are expected to be served before it.
    void forEach(const std::function<void(const QueuedRequest&, std::size_t rank)>& visit) const;

    // Returns the rank that a new request of the organisation would have.
    std::size_t rankOfNext(const std::string& organisation) const;

    // Forgets organisations without work and debt, so that memory does not grow with all that ever called.
    void forgetIdle();

    // Tokens that an organisation of weight 1 gains per round: the mean cost of recent requests. With a fixed 1,024 a heavy
    // organisation had twelve requests of 83 tokens per turn, and small ones waited for all of them.
    double quantum() const { return m_quantum; }

    std::size_t size() const { return m_size; }
    std::vector<OrganisationState> organisations() const;

    // Cost that a request is expected to have when nothing is cached.
    static double fullCost(const QueuedRequest&);
    static double cost(std::int64_t computedTokens, std::int64_t outputTokens, EstimatedTime import);

private:
    struct Organisation {
        std::string name;
        std::deque<QueuedRequest> waiting;
        double deficit = 0;
        int weight = 1;
        bool hasQuantum = false;
        std::uint64_t blockedIn = 0;
    };

    std::optional<QueuedRequest> takeFrom(Organisation&, const Serve&);
    void leaveRoundIfEmpty(Organisation&);

    std::unordered_map<std::string, Organisation> m_organisations;
    // Organisations with work, next first. Pointers into an unordered_map stay valid.
    std::deque<Organisation*> m_round;
    std::unordered_map<std::string, std::string> m_organisationOf;
    std::size_t m_size = 0;
    double m_quantum = 1'024;
    std::uint64_t m_calls = 0;
};

}

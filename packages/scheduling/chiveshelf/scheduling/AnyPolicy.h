#pragma once

#include "chiveshelf/scheduling/FairSharePolicy.h"
#include "chiveshelf/scheduling/FirstComePolicy.h"
#include "chiveshelf/scheduling/LeastLoadedPolicy.h"
#include "chiveshelf/scheduling/RoundRobinPolicy.h"

#include <variant>

namespace chiveshelf {

enum class PolicyKind {
    FairShare,
    FirstCome,
    RoundRobin,
    LeastLoaded,
};

// Returns the kind for a value of --scheduling-policy, or nullopt if the value is unknown.
std::optional<PolicyKind> policyKindFromName(std::string_view name);

// Returns true if the requests of all entry hosts wait in one queue.
bool hasCommonQueue(PolicyKind);

// The policy chosen at run time. Use visit() to call it.
class AnyPolicy {
public:
    AnyPolicy(PolicyKind, const FairShareSettings&);

    template <typename Visitor>
    decltype(auto) visit(Visitor&& visitor)
    {
        return std::visit(std::forward<Visitor>(visitor), m_policy);
    }

    template <typename Visitor>
    decltype(auto) visit(Visitor&& visitor) const
    {
        return std::visit(std::forward<Visitor>(visitor), m_policy);
    }

private:
    using Variant = std::variant<FairSharePolicy, FirstComePolicy, RoundRobinPolicy, LeastLoadedPolicy>;

    static Variant make(PolicyKind, const FairShareSettings&);

    Variant m_policy;
};

}

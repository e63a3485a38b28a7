#include "chiveshelf/scheduling/AnyPolicy.h"

namespace chiveshelf {

std::optional<PolicyKind> policyKindFromName(std::string_view name)
{
    if (name == "fair-share")
        return PolicyKind::FairShare;
    if (name == "first-come")
        return PolicyKind::FirstCome;
    if (name == "round-robin")
        return PolicyKind::RoundRobin;
    if (name == "least-loaded")
        return PolicyKind::LeastLoaded;
    return std::nullopt;
}

bool hasCommonQueue(PolicyKind kind)
{
    return kind == PolicyKind::FairShare || kind == PolicyKind::FirstCome;
}

AnyPolicy::AnyPolicy(PolicyKind kind, const FairShareSettings& settings)
    : m_policy(make(kind, settings))
{
}

AnyPolicy::Variant AnyPolicy::make(PolicyKind kind, const FairShareSettings& settings)
{
    switch (kind) {
    case PolicyKind::FirstCome:
        return FirstComePolicy();
    case PolicyKind::RoundRobin:
        return RoundRobinPolicy();
    case PolicyKind::LeastLoaded:
        return LeastLoadedPolicy();
    case PolicyKind::FairShare:
        break;
    }
    return FairSharePolicy(settings);
}

}

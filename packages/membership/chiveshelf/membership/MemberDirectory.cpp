#include "chiveshelf/membership/MemberDirectory.h"

#include "chiveshelf/core/Log.h"
#include "chiveshelf/membership/RendezvousHash.h"

#include <algorithm>

namespace chiveshelf {

namespace {

    bool acceptsNewWork(const Member& member)
    {
        return member.state == MemberState::Live || member.state == MemberState::Suspect;
    }

}

MemberDirectory::MemberDirectory(Member self, OwnershipPolicy policy)
    : m_self(std::move(self))
    , m_policy(policy)
{
    m_members[m_self.name] = m_self;
}

std::vector<Member> MemberDirectory::inDataCentre(const std::string& dataCentre) const
{
    std::vector<Member> out;
    for (const auto& [name, member] : m_members) {
        if (member.dataCentre == dataCentre)
            out.push_back(member);
    }
    return out;
}

std::vector<Member> MemberDirectory::all() const
{
    std::vector<Member> out;
    for (const auto& [name, member] : m_members)
        out.push_back(member);
    return out;
}

const Member* MemberDirectory::find(const std::string& name) const
{
    const auto it = m_members.find(name);
    return it == m_members.end() ? nullptr : &it->second;
}

const Member* MemberDirectory::owner(const std::string& role, const std::vector<std::string>& excluded)
{
    const auto now = Clock::now();
    const auto members = inDataCentre(m_self.dataCentre);
    std::vector<Member> candidates;
    std::vector<Member> preferred;
    for (const auto& member : members) {
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), member.name) != excluded.end();
        // A host that was paused does not own roles in its own view until a peer has answered a probe.
        const bool isSelfSuspect = member.name == m_self.name && member.state == MemberState::Suspect;
        if (!acceptsNewWork(member) || isExcluded || isSelfSuspect)
            continue;
        candidates.push_back(member);
        const auto barred = m_barredUntil.find(member.name);
        if (m_policy != OwnershipPolicy::BarReturned || barred == m_barredUntil.end() || now >= barred->second)
            preferred.push_back(member);
    }
    const Member* best = nullptr;
    const auto last = m_lastOwners.find(role);
    if (m_policy == OwnershipPolicy::KeepOwner && last != m_lastOwners.end()) {
        const auto it = std::find_if(candidates.begin(), candidates.end(), [&](const Member& member) { return member.name == last->second; });
        best = it == candidates.end() ? nullptr : &*it;
    }
    if (!best)
        best = ownerOf(role, preferred);
    if (!best)
        best = ownerOf(role, candidates);
    if (!best)
        best = ownerOf(role, members);
    if (!best)
        return nullptr;
    auto& lastName = m_lastOwners[role];
    if (!lastName.empty() && lastName != best->name) {
        ++m_roleMoves;
        logEvent(LogLevel::Info, "role_moved", { { "role", role }, { "from", lastName }, { "to", best->name } });
    }
    lastName = best->name;
    return find(best->name);
}

bool MemberDirectory::mustHandOver() const
{
    if (m_self.state == MemberState::Live)
        return false;
    const auto members = inDataCentre(m_self.dataCentre);
    return std::any_of(members.begin(), members.end(),
        [&](const Member& member) { return member.name != m_self.name && member.state == MemberState::Live; });
}

void MemberDirectory::barFromOwnership(const std::string& name, Clock::time_point until)
{
    auto& barredUntil = m_barredUntil[name];
    barredUntil = std::max(barredUntil, until);
}

void MemberDirectory::put(Member member)
{
    if (member.name == m_self.name)
        m_self = member;
    m_members[member.name] = std::move(member);
}

void MemberDirectory::remove(const std::string& name)
{
    if (name != m_self.name) {
        m_members.erase(name);
        m_barredUntil.erase(name);
    }
}

}

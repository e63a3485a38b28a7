#pragma once

#include "chiveshelf/membership/Member.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chiveshelf {

// How the owner of a role is chosen among the members that accept new work (Live or Suspect).
enum class OwnershipPolicy {
    // The member with the best rendezvous score.
    Rendezvous,
    // The previous owner while it accepts new work, else the member with the best score.
    KeepOwner,
    // The member with the best score among those not barred by barFromOwnership(). Members that have started, or have returned
    // from a leave or an absence, are barred for a few seconds.
    BarReturned,
};

// This host's view of the members. The membership task writes it; other tasks on the same thread read it between suspension
// points, without locks.
class MemberDirectory {
public:
    using Clock = std::chrono::steady_clock;

    explicit MemberDirectory(Member self, OwnershipPolicy = OwnershipPolicy::BarReturned);

    const Member& self() const { return m_self; }

    // Returns all members of a data centre, this host included.
    std::vector<Member> inDataCentre(const std::string& dataCentre) const;

    // Returns all members, this host included, ordered by name.
    std::vector<Member> all() const;

    // Returns the member, or nullptr if it is unknown.
    const Member* find(const std::string& name) const;

    // Returns the owner of a role in this host's data centre, or nullptr if there is none. Members in `excluded` are chosen only
    // if there is no other.
    const Member* owner(const std::string& role, const std::vector<std::string>& excluded = {});

    // Returns true if this host should own no role, because it is not Live (leaving or suspecting itself) and another Live host
    // of its data centre can take over.
    bool mustHandOver() const;

    // Adds or replaces a member, or this host's own entry if the name is its own.
    void put(Member);

    // Removes a member. Does nothing for this host's own name.
    void remove(const std::string& name);

    // Bars a member from owning roles until `until`. Applies under OwnershipPolicy::BarReturned only, and not while every
    // candidate is barred. Never shortens an existing bar.
    void barFromOwnership(const std::string& name, Clock::time_point until);

    // Returns the owner of each role as of its last look-up.
    const std::map<std::string, std::string>& roleOwners() const { return m_lastOwners; }

    // Returns how often a look-up found another owner than the look-up before it.
    std::uint64_t roleMoves() const { return m_roleMoves; }

private:
    Member m_self;
    OwnershipPolicy m_policy;
    std::map<std::string, Member> m_members;
    std::map<std::string, Clock::time_point> m_barredUntil;
    std::map<std::string, std::string> m_lastOwners;
    std::uint64_t m_roleMoves = 0;
};

}

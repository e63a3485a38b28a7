#pragma once

#include "chiveshelf/membership/Member.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chiveshelf {

// How the owner of a role is chosen among the members that take new work.
enum class OwnershipPolicy {
    // The best rendezvous score alone.
    Rendezvous,
    // The previous owner while it takes new work, else the best score.
    KeepOwner,
    // The best score among members that did not return from a leave or an absence a few seconds ago.
    BarReturned,
};

// A host's view of the members. The membership task writes it; other tasks read it between suspension points.
class MemberDirectory {
public:
    using Clock = std::chrono::steady_clock;

    explicit MemberDirectory(Member self, OwnershipPolicy = OwnershipPolicy::BarReturned);

    const Member& self() const { return m_self; }

    // All members of a data centre, this host included.
    std::vector<Member> inDataCentre(const std::string& dataCentre) const;

    // All members, this host included, ordered by name.
    std::vector<Member> all() const;

    // Returns the member, or nullptr if it is unknown.
    const Member* find(const std::string& name) const;

    // Returns the owner of a role in this host's data centre. Members in `excluded` count only if there is no other.
    const Member* owner(const std::string& role, const std::vector<std::string>& excluded = {});

    // True if this host should own no role: it is leaving or suspects itself, and another host can take over.
    bool mustHandOver() const;

    // Adds or replaces a member. This host's own entry changes too if the name is its own.
    void put(Member);
    void remove(const std::string& name);

    // Keeps a member from owning roles until the time given, if the policy is BarReturned. An earlier time changes nothing.
    void bar(const std::string& name, Clock::time_point until);

    // The owner of each role as it was last looked up.
    const std::map<std::string, std::string>& roleOwners() const { return m_lastOwners; }

    // How often the owner of a role was found to be another than before.
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

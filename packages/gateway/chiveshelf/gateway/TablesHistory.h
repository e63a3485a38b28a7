#pragma once

#include "chiveshelf/routing/RouteIndex.h"

#include <deque>
#include <memory>

namespace chiveshelf {

// The current tables and the last ones before them, from which updates for other hosts are made.
class TablesHistory {
public:
    // Versions kept. Hosts that are further behind get whole tables. Tables of 1 MB of text take some 1 MB each.
    static constexpr std::size_t maxVersions = 5;

    // Adds tables that are newer than all added before.
    void add(std::shared_ptr<const RouteIndex>);

    // Returns the tables of a version, or nullptr. Version 0 has empty tables.
    const RoutingTables* find(std::uint64_t version) const;

    // Returns the newest version, 0 if there is none.
    std::uint64_t newest() const { return m_versions.empty() ? 0 : m_versions.back()->tables().version; }

private:
    std::deque<std::shared_ptr<const RouteIndex>> m_versions;
};

}

#pragma once

#include "Fleet.h"
#include "endtoend/Workload.h"

namespace bench {

// The processes of one run: a deployment's runners and stores with two entry hosts in each data centre.
class BenchFleet {
public:
    BenchFleet(const Deployment&, const std::string& policy, int network);

    // Callers' addresses by data centre, in the deployment's order.
    std::vector<std::vector<chiveshelf::Address>> callerAddresses() const;

    // Changes the fleet as the scenario says.
    void disturb(Disturbance);

    // Bytes that the stores have sent and received.
    std::int64_t linkBytes() const;

    // Processes of the entry hosts, for ProcessUsage.
    std::vector<int> hostProcessIds();

    std::size_t hostCount() const { return m_fleet.hosts().size(); }

private:
    chiveshelf::Tables makeTables() const;

    Deployment m_deployment;
    bool m_hasStores;
    support::Fleet m_fleet;
    chiveshelf::Tables m_tables;
};

}

#pragma once

#include "Fleet.h"
#include "endtoend/Workload.h"

namespace bench {

// The processes of a benchmark run: the runners and stores of a deployment, and two entry hosts in each data centre.
class BenchFleet {
public:
    BenchFleet(const Deployment&, const std::string& policy, int network);

    // Returns the caller addresses of the hosts by data centre, in the deployment's order.
    std::vector<std::vector<chiveshelf::Address>> callerAddresses() const;

    // Applies a disturbance to the fleet.
    void disturb(Disturbance);

    // Returns the number of bytes that the stores have sent and received.
    std::int64_t linkBytes() const;

    // Returns the process ids of the entry hosts.
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

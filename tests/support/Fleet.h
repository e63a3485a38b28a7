#pragma once

#include "ChildProcess.h"
#include "HttpProbe.h"
#include "chiveshelf/tables/Tables.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace support {

// Where the processes of one entry host listen.
struct HostAddresses {
    std::string name;
    std::string dataCentre;
    chiveshelf::Address caller;
    chiveshelf::Address admin;
    chiveshelf::Address peer;
};

// A system of real processes on loopback addresses of its own: the fake platform, fake runners, a fake service and entry hosts.
class Fleet {
public:
    // Uses the loopback network of the test's environment.
    Fleet();

    // Uses the loopback addresses 127.NETWORK.0.0/16.
    explicit Fleet(int network);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    // Puts a leg behind a link of the fault proxy. Call it before the process is started. Legs: "platform", "NAME" of a runner or
    // service, "NAME/caller" and "NAME/peer" of a host. Addresses that this class returns are then those of the link.
    void useProxy(const std::string& leg);

    // Switches faults of a leg, as fakes::FaultLink::apply() describes. The leg "" stands for all.
    void setFault(const std::string& leg, const nlohmann::json&);

    void startPlatform();
    void startRunner(const std::string& name, const std::string& dataCentre, const std::vector<std::string>& extra = {});
    void startService(const std::string& name, const std::string& dataCentre);
    void startStore(const std::string& name, const std::string& dataCentre, const std::vector<std::string>& extra = {});

    // Starts an entry host. `extra` are more flags.
    void startHost(const std::string& name, const std::string& dataCentre, const std::vector<std::string>& extra = {});

    // Sets the faults of the platform, as fakes::FakeKeyValue describes. An empty object ends them.
    void setPlatformFaults(const nlohmann::json&);

    // Returns how often a plain service ran an operation, over all services.
    std::map<std::string, int> operationRuns() const;

    // Writes the platform's list of hosts, of which those in `leaving` are marked.
    void writeHostList(const std::set<std::string>& leaving = {});

    // Returns the state dump of a host, or null if it does not answer.
    nlohmann::json state(const std::string& host) const;

    // Returns the state of a member in a host's view, empty if it is unknown there.
    std::string memberState(const std::string& observer, const std::string& member) const;

    // Returns tables with the pool "desk" of all runners and stores and the pool "bookings" of all services.
    chiveshelf::Tables defaultTables() const;

    // Applies tables with chivesctl. Returns its exit code.
    int applyTables(const chiveshelf::Tables&);

    // Waits until every host has the revision.
    bool waitForRevision(std::uint64_t revision, std::chrono::milliseconds limit);

    // Waits until every host knows all hosts of its data centre. Until then two hosts may each schedule a pool.
    bool waitForMembers(std::chrono::milliseconds limit);

    ChildProcess& process(const std::string& name) { return *m_processes.at(name); }
    const HostAddresses& host(const std::string& name) const { return m_hosts.at(name); }
    const std::map<std::string, HostAddresses>& hosts() const { return m_hosts; }
    // The platform itself, also when its leg is behind the proxy.
    chiveshelf::Address platform() const;

    // Address of the platform's second listener, which has faults of its own. Pass it to some hosts with --platform to cut
    // them off alone.
    chiveshelf::Address secondPlatform() const;

    // Sets the faults of one of the platform's listeners; see fakes::FakeKeyValue.
    void setPlatformFaults(const chiveshelf::Address& listener, const nlohmann::json& faults);

    // Runs chivesctl against the platform. `output` receives what it prints.
    int runCtl(std::vector<std::string> arguments, std::string& output) const;
    const chiveshelf::Address& backend(const std::string& name) const { return m_backends.at(name).address; }
    const chiveshelf::Address& store(const std::string& name) const { return m_stores.at(name).address; }

    const chiveshelf::Backend& backendRow(const std::string& name) const { return m_backends.at(name); }

    // A file or folder of this test's own for logs.
    std::string logPath(const std::string& name) const;

private:
    chiveshelf::Address nextAddress(std::uint16_t port);
    void waitForPort(const chiveshelf::Address&, const std::string& path);

    // Gives a backend its addresses at its first start.
    void bindBackend(const std::string& name, const std::string& dataCentre);

    // Returns the address under which others reach `target`: a new link's, or the target itself if the leg has none.
    chiveshelf::Address linkTo(const std::string& leg, const chiveshelf::Address& target);

    // Held while the fleet uses its network, so that a run from another checkout waits.
    int m_networkLock = -1;
    int m_network;
    int m_nextHost = 1;
    std::string m_folder;
    std::map<std::string, std::unique_ptr<ChildProcess>> m_processes;
    std::map<std::string, HostAddresses> m_hosts;
    std::map<std::string, chiveshelf::Backend> m_backends;
    std::map<std::string, bool> m_isService;
    std::map<std::string, chiveshelf::Backend> m_stores;
    // Addresses that the processes bind, by name.
    std::map<std::string, chiveshelf::Address> m_bound;
    std::map<std::string, HostAddresses> m_boundHosts;
    std::set<std::string> m_proxiedLegs;
    chiveshelf::Address m_proxyControl;
    chiveshelf::Address m_platformLink;
};

}

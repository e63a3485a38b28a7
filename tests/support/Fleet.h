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

// Name, data centre and addresses of an entry host.
struct HostAddresses {
    std::string name;
    std::string dataCentre;
    chiveshelf::Address caller;
    chiveshelf::Address admin;
    chiveshelf::Address peer;
};

// A complete system of real processes on its own loopback addresses: a fake platform, fake runners, services and stores, and entry
// hosts.
class Fleet {
public:
    // Uses the loopback network set in CHIVESHELF_TEST_NETWORK.
    Fleet();

    // Uses the loopback addresses 127.NETWORK.0.0/16.
    explicit Fleet(int network);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    // Routes a link through the fault proxy. Call this before the process is started. Links: "platform", "NAME" of a runner or
    // service, "NAME/caller" and "NAME/peer" of a host. This class then returns the proxy's addresses for the link.
    void useProxy(const std::string& link);

    // Sets the faults of a link, or of all links if `link` is empty. See fakes::FaultLink::apply().
    void setFault(const std::string& link, const nlohmann::json&);

    void startPlatform();
    void startRunner(const std::string& name, const std::string& dataCentre, const std::vector<std::string>& extraFlags = {});
    void startService(const std::string& name, const std::string& dataCentre);
    void startStore(const std::string& name, const std::string& dataCentre, const std::vector<std::string>& extraFlags = {});

    // Starts an entry host with additional command-line flags.
    void startHost(const std::string& name, const std::string& dataCentre, const std::vector<std::string>& extraFlags = {});

    // Sets the faults of the platform; see fakes::FakeKeyValue. An empty object clears them.
    void setPlatformFaults(const nlohmann::json&);

    // Returns the number of runs of each operation, summed over all services.
    std::map<std::string, int> operationRuns() const;

    // Writes all hosts to the platform's host list. Hosts in `leaving` are marked as leaving.
    void writeHostList(const std::set<std::string>& leaving = {});

    // Returns the /state document of a host, or null if the host does not respond.
    nlohmann::json state(const std::string& host) const;

    // Returns the state of `member` as reported by the host `observer`, or an empty string if it does not know the member.
    std::string memberState(const std::string& observer, const std::string& member) const;

    // Returns tables with the pool "desk" of all runners and stores and the pool "bookings" of all services.
    chiveshelf::Tables defaultTables() const;

    // Applies tables with chivesctl. Returns its exit code.
    int applyTables(const chiveshelf::Tables&);

    // Waits until every host reports at least this revision of the tables.
    bool waitForRevision(std::uint64_t revision, std::chrono::milliseconds timeout);

    // Waits until every host knows all hosts of its data centre. Before that, two hosts may schedule the same pool.
    bool waitForMembers(std::chrono::milliseconds timeout);

    ChildProcess& process(const std::string& name) { return *m_processes.at(name); }
    const HostAddresses& host(const std::string& name) const { return m_hosts.at(name); }
    const std::map<std::string, HostAddresses>& hosts() const { return m_hosts; }

    // Returns the platform's own address, even if its link is routed through the proxy.
    chiveshelf::Address platform() const;

    // Returns the address of the platform's second listener, which has its own faults. Pass it to some hosts with --platform to
    // disconnect only these from the platform.
    chiveshelf::Address secondPlatform() const;

    // Sets the faults of one listener of the platform; see fakes::FakeKeyValue.
    void setPlatformFaults(const chiveshelf::Address& listener, const nlohmann::json& faults);

    // Runs chivesctl against the platform and returns its exit code. `output` receives its stdout.
    int runCtl(std::vector<std::string> arguments, std::string& output) const;
    const chiveshelf::Address& backend(const std::string& name) const { return m_backends.at(name).address; }
    const chiveshelf::Address& store(const std::string& name) const { return m_stores.at(name).address; }

    const chiveshelf::Backend& backendRow(const std::string& name) const { return m_backends.at(name); }

    // Returns a path in the fleet's temporary folder, for the log of a process.
    std::string logPath(const std::string& name) const;

private:
    chiveshelf::Address nextAddress(std::uint16_t port);
    void waitForPort(const chiveshelf::Address&, const std::string& path);

    // Assigns the backend's addresses at its first start.
    void assignAddresses(const std::string& name, const std::string& dataCentre);

    // Creates the link in the fault proxy and returns its address, or returns `target` if the link is not proxied.
    chiveshelf::Address addressThroughProxy(const std::string& link, const chiveshelf::Address& target);

    // Descriptor of a locked file, so that only one test run at a time uses the network.
    int m_networkLock = -1;
    // Second octet of the loopback addresses.
    int m_network;
    int m_nextHost = 1;
    std::string m_folder;
    std::map<std::string, std::unique_ptr<ChildProcess>> m_processes;
    std::map<std::string, HostAddresses> m_hosts;
    std::map<std::string, chiveshelf::Backend> m_backends;
    std::map<std::string, bool> m_isService;
    std::map<std::string, chiveshelf::Backend> m_stores;
    // Addresses on which the backends listen, by name.
    std::map<std::string, chiveshelf::Address> m_listenAddresses;
    std::map<std::string, HostAddresses> m_hostListenAddresses;
    std::set<std::string> m_proxiedLinks;
    chiveshelf::Address m_proxyControl;
    chiveshelf::Address m_platformLink;
};

}

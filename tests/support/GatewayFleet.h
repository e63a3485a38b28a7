#pragma once

#include "ChildProcess.h"
#include "FakePlatform.h"
#include "ProcessorQuota.h"
#include "SlowLink.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include <random>
#include <set>

namespace support {

// A response as received by a caller.
struct CallerResponse {
    // 0 if no complete response was received.
    unsigned status = 0;
    std::string runner;
    std::string retryAfter;
    // Whether the response states a limit of requests.
    bool hasLimit = false;
    std::chrono::milliseconds elapsed { 0 };
};

// `chiveshelfd gateway` processes with a fake store and fake runners in the process of the test. Datagrams between the hosts pass
// relays that can lose them.
class GatewayFleet {
public:
    // `tables` is the operator's configuration, `seed` that of lost datagrams.
    GatewayFleet(const std::string& tables, std::uint64_t seed);
    ~GatewayFleet();
    GatewayFleet(const GatewayFleet&) = delete;
    GatewayFleet& operator=(const GatewayFleet&) = delete;

    // Returns the index of the runner.
    std::size_t addRunner(const std::string& id, const std::string& pool, fakeplatform::Runner::Handler);

    // Crashes a runner. It starts again after `downTime`, registered under another id. Ignored while it is down.
    void crashRunner(std::size_t index, std::chrono::milliseconds downTime);

    static std::string hostName(int number);

    // Gives a host, before its start, a link of this rate to the store, to callers and from hosts that call it. Runners are reached
    // beside it, and its calls to other hosts use only their links.
    void limitLink(int number, double bytesPerSecond);
    // Bytes that crossed a limited link.
    std::size_t linkBytes(int number, SlowLink::Direction direction) const { return m_hosts.at(number).link->bytes(direction); }

    // Adds settings for the hosts that are started from now on.
    void addHostArguments(const std::vector<std::string>& arguments) { m_hostArguments.insert(m_hostArguments.end(), arguments.begin(), arguments.end()); }

    // Gives each of these hosts from now on this share of a processor.
    void limitProcessors(const std::vector<int>& hosts, double share);

    fakeplatform::Store& store() { return m_store; }
    // Where callers connect to a host.
    chiveshelf::Address callerAddress(int number) const;

    // Starts a host, or starts it again. Host numbers begin at 1.
    void startHost(int number);
    // Starts the hosts 1 to `n` and waits until they are ready.
    void startHosts(int n);
    void awaitReady(int number);
    // Starts a host that can't reach the store and has the first host as its contact.
    void startHostWithoutStore(int number);
    ChildProcess& process(int number) { return *m_hosts.at(number).process; }
    bool isReady(int number);
    // Kills a host and leaves its registration in the store.
    void killHost(int number) { process(number).kill(); }
    // Ends a host as planned, and removes its registration.
    void stopHost(int number);
    // Removes the registrations of all hosts, as a store does whose leases expired while it was down.
    void expireRegistrations();

    // Loses all datagrams from and to a host.
    void setCutOff(int number, bool isCutOff);
    // Loses this share of all datagrams.
    void setLossShare(double share) { m_lossShare = share; }

    // Sends a request to a host. `onEnd` is called when it ended.
    void send(int host, std::string bytes, std::function<void(const CallerResponse&)> onEnd);

    boost::asio::io_context& context() { return m_context; }
    void runFor(std::chrono::milliseconds duration);

private:
    struct Host {
        std::unique_ptr<ChildProcess> process;
        std::shared_ptr<boost::asio::ip::udp::socket> relay;
        std::unique_ptr<SlowLink> link;
    };

    struct RunnerSlot {
        std::string id;
        std::string pool;
        chiveshelf::Address address;
        std::unique_ptr<fakeplatform::Runner> runner;
        int crashes = 0;
        bool isDown = false;
    };

    void registerRunner(const RunnerSlot&);
    boost::asio::awaitable<void> restartRunner(std::size_t index, std::chrono::milliseconds downTime);
    void start(int number, const std::vector<std::string>& moreArguments);
    bool hasLink(int number) const;
    chiveshelf::Address storeAddress(int number) const;
    chiveshelf::Address address(int group, int number, int port) const;
    chiveshelf::Address peerAddress(int number) const { return address(1, number, 7'003); }
    boost::asio::awaitable<void> relay(int number, std::shared_ptr<boost::asio::ip::udp::socket>);
    boost::asio::awaitable<void> exchange(chiveshelf::Address, std::string bytes, std::function<void(const CallerResponse&)> onEnd);

    std::string m_network;
    std::string m_logFolder;
    std::vector<std::string> m_hostArguments;
    boost::asio::io_context m_context { 1 };
    fakeplatform::Store m_store { m_context };
    std::vector<RunnerSlot> m_runners;
    std::map<int, Host> m_hosts;
    std::unique_ptr<ProcessorQuota> m_quota;
    std::set<int> m_cutOff;
    double m_lossShare = 0;
    std::mt19937_64 m_random;
};

}

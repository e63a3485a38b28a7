#pragma once

#include "chiveshelf/ctl/TableCommands.h"
#include "chiveshelf/http/Client.h"

namespace chiveshelf {

// A host that a command queries.
struct HostTarget {
    std::string name;
    std::string dataCentre;
    // Absent if the platform's host list does not contain it.
    std::optional<Address> adminAddress;
    bool isLeaving = false;
};

// Clients and options of the commands for hosts and runners.
struct HostContext {
    boost::asio::io_context& context;
    http::Client& client;
    // Provides the host list if `addresses` is empty.
    HttpPlatform& platform;
    // Admin addresses from --hosts.
    std::vector<Address> addresses;
    OutputFormat format = OutputFormat::Text;
};

// Waits until the revision is in force on every host. If it is not when the time limit expires, prints the hosts concerned and
// returns NotInForce.
boost::asio::awaitable<ExitCode> waitForRevision(HostContext&, std::uint64_t revision, std::chrono::milliseconds limit);

// Prints the state of the named hosts, or of all hosts if `names` is empty.
boost::asio::awaitable<ExitCode> showState(HostContext&, std::vector<std::string> names);

// Requests a host to finish its requests and stop.
boost::asio::awaitable<ExitCode> drainHost(HostContext&, std::string name);

// Prints all hosts, with data from the platform's host list and from their own state.
boost::asio::awaitable<ExitCode> listHosts(HostContext&);

// Queries the runners of all pools and prints their health.
boost::asio::awaitable<ExitCode> listRunners(HostContext&, TableEditor&);

}

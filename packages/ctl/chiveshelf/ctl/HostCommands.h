#pragma once

#include "chiveshelf/ctl/TableCommands.h"
#include "chiveshelf/http/Client.h"

namespace chiveshelf {

// A host that a command asks.
struct HostTarget {
    std::string name;
    std::string dataCentre;
    // Absent if the platform's list does not tell it.
    std::optional<Address> adminAddress;
    bool isLeaving = false;
};

// What the commands about hosts and runners use.
struct HostContext {
    boost::asio::io_context& context;
    http::Client& client;
    // Used for the host list unless `addresses` are given.
    HttpPlatform& platform;
    // Admin addresses from --hosts.
    std::vector<Address> addresses;
    OutputForm form = OutputForm::Text;
};

// Waits until the revision is in force on every host, and prints the hosts on which it is not at the limit.
boost::asio::awaitable<ExitCode> waitForRevision(HostContext&, std::uint64_t revision, std::chrono::milliseconds limit);

// Prints the state of all hosts, or of those named.
boost::asio::awaitable<ExitCode> showState(HostContext&, std::vector<std::string> names);

// Tells one host to finish its requests and stop.
boost::asio::awaitable<ExitCode> drainHost(HostContext&, std::string name);

// Prints the hosts with what the platform lists and what they report.
boost::asio::awaitable<ExitCode> listHosts(HostContext&);

// Prints the runners of all pools with their health, as they answer now.
boost::asio::awaitable<ExitCode> listRunners(HostContext&, TableEditor&);

}

#pragma once

#include "chiveshelf/core/MemoryPlan.h"
#include "chiveshelf/placement/Mechanisms.h"
#include "chiveshelf/settings/OptionSet.h"

#include <chrono>
#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace chiveshelf {

// Requests that a runner may get in any second while it warms up, as a function of the rate that it sustains.
struct WarmUpAllowance {
    double factor = 1;
    double addend = 0;

    double of(double perSecond) const { return perSecond * factor + addend; }

    auto operator<=>(const WarmUpAllowance&) const = default;
};

// Validated settings of `chiveshelfd gateway`.
struct GatewaySettings {
    std::string hostName;
    std::string dataCentre;
    Address callerAddress;
    // Serves readiness, metrics and state.
    Address adminAddress;
    // Serves other hosts over TCP and UDP. The port is the same on all hosts.
    Address peerAddress;
    // Hosts to pull the routing tables from while the store can't be read.
    std::vector<Address> contacts;
    Address storeAddress;
    // Time from the termination signal until the process is killed.
    std::chrono::milliseconds stopLimit { 8'000 };
    // Minimum time between orders of two different hosts to the same runner.
    std::chrono::milliseconds orderGap { 3'000 };
    // Time within which a newly announced model version has to be loaded on the runners.
    std::chrono::milliseconds versionLimit { 6'000 };
    // Interval at which runners renew their entries in the store. An entry that is not renewed for three intervals expires.
    std::chrono::milliseconds runnerRenewInterval { 1'200 };
    // Retries that all hosts together may send to a pool per request, plus `retryReserve` in each window.
    double retryShare = 0.2;
    double retryReserve = 50;
    std::chrono::milliseconds retryWindow { 10'000 };
    // Whether the whole system starts for the first time, so that no request was served before this process started.
    bool isFirstStart = false;
    // Whether hosts share failed connections to runners.
    bool isFailureSharing = false;
    std::size_t maxDescriptors = 4'096;
    // Memory of this machine. The default is that of a small host.
    std::size_t memoryMb = 160;
    // Memory for the bodies of requests, and bound of callers' connections. 0: as the memory of the machine allows.
    std::size_t bodyMemoryBytes = 0;
    std::size_t maxCallers = 0;
    // Bodies that arrive slower than this are dropped when others don't fit.
    std::size_t slowBodyBytesPerSecond = 64 * 1024;
    // Size of the kernel's receive buffer of each connection of a caller.
    std::size_t receiveBufferBytes = MemoryPlan::receiveBufferBytes;
    // Speed of this host's link, and its share of a processor core.
    double linkMbps = 100;
    double cpuShare = 1;
    // Nothing if runners that warm up have no bound.
    std::optional<WarmUpAllowance> warmUpAllowance;
    std::string logLevel = "info";
    // Mechanisms that are enabled in the choice of runners.
    Mechanisms mechanisms;
    // Whether the choice of runners depends on how long requests took at each of them, instead of their slots alone.
    bool learnsCapacity = false;
};

// Returns the option specifications, for parsing and help.
OptionSet makeGatewayOptions();

// Reads parsed options. Appends problems that concern several options to `problems`.
GatewaySettings readGatewaySettings(const OptionSet&, std::vector<std::string>& problems);

}

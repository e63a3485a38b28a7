#pragma once

#include "chiveshelf/placement/Mechanisms.h"
#include "chiveshelf/settings/OptionSet.h"

#include <chrono>
#include <string>
#include <vector>

namespace chiveshelf {

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
    // Speed of this host's link, and its share of a processor core.
    double linkMbps = 100;
    double cpuShare = 1;
    std::string logLevel = "info";
    // Mechanisms that are enabled in the choice of runners.
    Mechanisms mechanisms;
};

// Returns the option specifications, for parsing and help.
OptionSet makeGatewayOptions();

// Reads parsed options. Appends problems that concern several options to `problems`.
GatewaySettings readGatewaySettings(const OptionSet&, std::vector<std::string>& problems);

}

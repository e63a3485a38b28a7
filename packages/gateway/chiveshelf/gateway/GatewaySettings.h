#pragma once

#include "chiveshelf/placement/Mechanisms.h"
#include "chiveshelf/settings/OptionSet.h"

#include <chrono>
#include <string>
#include <vector>

namespace chiveshelf {

// Checked settings of `chiveshelfd gateway`.
struct GatewaySettings {
    std::string hostName;
    std::string dataCentre;
    Address callerAddress;
    // Readiness, metrics and state.
    Address adminAddress;
    // Other hosts, TCP and UDP. The port is the same on all hosts.
    Address peerAddress;
    // Hosts to ask for the tables while the store can not be read.
    std::vector<Address> contacts;
    Address storeAddress;
    // Time from the signal to stop until the process is killed.
    std::chrono::milliseconds stopLimit { 8'000 };
    // Least time between orders of two different hosts.
    std::chrono::milliseconds orderGap { 3'000 };
    // Time in which a named version has to be in place.
    std::chrono::milliseconds versionLimit { 6'000 };
    double retryShare = 0.2;
    double retryReserve = 50;
    std::chrono::milliseconds retryWindow { 10'000 };
    std::size_t mostDescriptors = 4'096;
    std::string logLevel = "info";
    // What is used in the choice of runners.
    Mechanisms mechanisms;
};

// Returns the settings' specs, for parsing and help.
OptionSet makeGatewayOptions();

// Reads checked options. Adds problems that concern several settings to `problems`.
GatewaySettings readGatewaySettings(const OptionSet&, std::vector<std::string>& problems);

}

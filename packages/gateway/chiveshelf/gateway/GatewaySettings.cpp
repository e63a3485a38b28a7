#include "chiveshelf/gateway/GatewaySettings.h"

namespace chiveshelf {

namespace {

    std::vector<std::string> splitList(const std::string& text)
    {
        std::vector<std::string> out;
        std::size_t start = 0;
        while (start < text.size()) {
            const auto comma = std::min(text.find(',', start), text.size());
            if (comma > start)
                out.push_back(text.substr(start, comma - start));
            start = comma + 1;
        }
        return out;
    }

    std::string checkAddressList(const std::string& text)
    {
        for (const auto& entry : splitList(text)) {
            if (!parseAddress(entry))
                return "must be a list of IP:PORT, separated by commas";
        }
        return {};
    }

    std::string checkMechanisms(const std::string& text)
    {
        for (const auto& entry : splitList(text)) {
            if (!parseMechanism(entry))
                return "must be a list of these, separated by commas: " + listMechanismNames();
        }
        return {};
    }

    std::chrono::milliseconds milliseconds(const OptionSet& options, const std::string& name)
    {
        return std::chrono::milliseconds(options.number(name));
    }

    std::chrono::milliseconds seconds(const OptionSet& options, const std::string& name)
    {
        return std::chrono::milliseconds(static_cast<std::int64_t>(options.decimal(name) * 1'000));
    }

}

OptionSet makeGatewayOptions()
{
    std::vector<OptionSpec> specs {
        { "host-name", "", "Name of this host, unique in the fleet.", true, false, checkName() },
        { "data-centre", "", "Data centre of this host.", true, false, checkName() },
        { "listen", "", "IP:PORT for callers.", true, false, checkAddress() },
        { "admin-listen", "", "IP:PORT for readiness, metrics and state.", true, false, checkAddress() },
        { "peer-listen", "", "IP:PORT for other hosts, TCP and UDP; the port is the same on all hosts.", true, false, checkAddress() },
        { "contacts", "", "Addresses of hosts, separated by commas, to ask for the tables while the store can not be read. Their ports are ignored.",
            false, false, checkAddressList },
        { "store", "", "IP:PORT of the store with tables, runners and leases.", true, false, checkAddress() },
        { "stop-limit-s", "8", "Time from the signal to stop until the process is killed, in s.", false, false, checkDecimal(1, 3'600, "s") },
        { "order-gap-ms", "3000", "Least time between orders of two hosts to one runner, in ms.", false, false, checkNumber(0, 60'000, "ms") },
        { "version-limit-ms", "6000", "Time in which a named version has to be in place, in ms.", false, false, checkNumber(1, 3'600'000, "ms") },
        { "runner-renew-ms", "1200", "Interval at which runners renew their entries in the store, in ms; they expire after three intervals.", false, false, checkNumber(1, 3'600'000, "ms") },
        { "retry-share", "0.2", "Repeats per request that all hosts together may send to a pool.", false, false, checkDecimal(0, 10, "") },
        { "retry-reserve", "50", "Repeats in each window that all hosts together may send beside the share.", false, false, checkDecimal(0, 1'000'000, "") },
        { "retry-window-s", "10", "Window over which repeats are counted, in s.", false, false, checkDecimal(1, 3'600, "s") },
        { "first-start", "false", "Whether the whole system starts for the first time: true or false.", false, false, checkOneOf({ "true", "false" }) },
        { "share-failures", "false", "Whether hosts tell each other which runners they can't connect to: true or false; empty means false.", false, false,
            checkOneOf({ "true", "false" }) },
        { "most-descriptors", "4096", "File descriptors that the process may use.", false, false, checkNumber(64, 10'000'000, "") },
        { "memory-mb", "0", "Memory of this machine, in MB; empty or 0 if unknown, which counts as 160.", false, false, checkNumber(0, 1'000'000'000, "MB") },
        { "body-memory-mb", "0", "Memory for the bodies of requests, in MB; 0 for a quarter of the machine's memory.", false, false, checkNumber(0, 1'000'000, "MB") },
        { "slow-body-kb-s", "64", "Bodies that arrive slower than this are dropped when others don't fit into memory, in KB/s.", false, false, checkNumber(0, 1'000'000, "KB/s") },
        { "most-callers", "0", "Connections of callers; 0 for as many as memory and descriptors allow.", false, false, checkNumber(0, 1'000'000, "") },
        { "receive-buffer-kb", "32", "Receive buffer of each connection of a caller, in KB; the kernel uses twice as much.", false, false, checkNumber(4, 65'536, "KB") },
        { "link-mbps", "100", "Speed of this host's link, in Mbit/s; 0 if unknown. At most half of it is used to send tables to other hosts.", false, false, checkDecimal(0, 1'000'000, "Mbit/s") },
        { "cpu-share", "1", "Share of a processor core that the process may use; 0 if unknown. Hosts with more, and faster links, watch the store for the others.", false, false,
            checkDecimal(0, 1'024, "cores") },
        { "cold-over", "", "Multiple of its rate while it warms up that a runner may get in one second; without it, runners that warm up are not limited.", false, false,
            checkDecimal(0, 1'000, "") },
        { "cold-slack", "", "Requests that a runner may get in one second beside that multiple.", false, false, checkDecimal(0, 1'000'000, "") },
        { "without", "", "Mechanisms of the choice of runners that are switched off, separated by commas, to measure what each is worth: " + listMechanismNames() + ".",
            false, false, checkMechanisms },
        { "learn-capacity", "false", "Whether the hosts learn how much load each runner handles well: true or false. Empty means false.", false, false, checkOneOf({ "true", "false" }) },
        { "log-level", "info", "Lowest level that is logged.", false, false, checkOneOf({ "debug", "info", "warning", "error" }) },
        { "print-settings", "", "Print the effective settings with their origin and exit.", false, true, nullptr },
        { "help", "", "Print this help and exit.", false, true, nullptr },
    };
    return OptionSet("CHIVESHELF_GATEWAY", std::move(specs));
}

GatewaySettings readGatewaySettings(const OptionSet& options, std::vector<std::string>& problems)
{
    GatewaySettings out;
    out.hostName = options.text("host-name");
    out.dataCentre = options.text("data-centre");
    out.callerAddress = options.address("listen");
    out.adminAddress = options.address("admin-listen");
    out.peerAddress = options.address("peer-listen");
    for (const auto& entry : splitList(options.text("contacts"))) {
        // Invalid entries were reported when the options were parsed.
        if (auto address = parseAddress(entry))
            out.contacts.push_back({ address->ip, out.peerAddress.port });
    }
    out.storeAddress = options.address("store");
    out.stopLimit = seconds(options, "stop-limit-s");
    out.orderGap = milliseconds(options, "order-gap-ms");
    out.versionLimit = milliseconds(options, "version-limit-ms");
    out.runnerRenewInterval = milliseconds(options, "runner-renew-ms");
    out.retryShare = options.decimal("retry-share");
    out.retryReserve = options.decimal("retry-reserve");
    out.retryWindow = seconds(options, "retry-window-s");
    out.isFirstStart = options.text("first-start") == "true";
    out.isFailureSharing = options.text("share-failures") == "true";
    out.maxDescriptors = static_cast<std::size_t>(options.number("most-descriptors"));
    const auto memoryMb = options.number("memory-mb");
    out.memoryMb = memoryMb > 0 ? static_cast<std::size_t>(memoryMb) : out.memoryMb;
    out.bodyMemoryBytes = static_cast<std::size_t>(options.number("body-memory-mb")) * 1024 * 1024;
    out.slowBodyBytesPerSecond = static_cast<std::size_t>(options.number("slow-body-kb-s")) * 1024;
    out.maxCallers = static_cast<std::size_t>(options.number("most-callers"));
    const auto receiveBufferKb = options.number("receive-buffer-kb");
    out.receiveBufferBytes = receiveBufferKb > 0 ? static_cast<std::size_t>(receiveBufferKb) * 1024 : out.receiveBufferBytes;
    const auto linkMbps = options.decimal("link-mbps");
    out.linkMbps = linkMbps > 0 ? linkMbps : out.linkMbps;
    const auto cpuShare = options.decimal("cpu-share");
    out.cpuShare = cpuShare > 0 ? cpuShare : out.cpuShare;
    if (options.isSet("cold-over"))
        out.warmUpAllowance = WarmUpAllowance { options.decimal("cold-over"), options.isSet("cold-slack") ? options.decimal("cold-slack") : 0 };
    else if (options.isSet("cold-slack"))
        problems.emplace_back("--cold-slack: needs --cold-over");
    for (const auto& entry : splitList(options.text("without"))) {
        if (const auto mechanism = parseMechanism(entry))
            out.mechanisms = out.mechanisms.without(*mechanism);
    }
    out.learnsCapacity = options.text("learn-capacity") == "true";
    out.logLevel = options.text("log-level");
    checkDifferentAddresses(options, { "listen", "admin-listen", "peer-listen", "store" }, problems);
    return out;
}

}

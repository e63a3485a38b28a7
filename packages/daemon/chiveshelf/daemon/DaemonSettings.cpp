#include "chiveshelf/daemon/DaemonSettings.h"

namespace chiveshelf {

OptionSet makeDaemonOptions()
{
    std::vector<OptionSpec> specs {
        { "host-name", "", "Name of this host, unique in the fleet.", true, false, checkName() },
        { "data-centre", "", "Data centre of this host.", true, false, checkName() },
        { "listen", "", "IP:PORT for callers.", true, false, checkAddress() },
        { "admin-listen", "", "IP:PORT for metrics, state and drain.", true, false, checkAddress() },
        { "peer-listen", "", "IP:PORT for other hosts, TCP and UDP.", true, false, checkAddress() },
        { "peer-advertise", "", "IP:PORT at which other hosts reach --peer-listen, if it is another one.", false, false, checkAddress() },
        { "platform", "", "IP:PORT of the platform's key-value service.", true, false, checkAddress() },
        { "idempotency-shards", "1024", "Shards of the idempotency records; equal on all hosts.", false, false, checkNumber(1, 65'536, "shards") },
        { "idempotency-window-ms", "20", "Time for which claims of a shard are grouped into one write, in ms; 0 writes each separately.", false, false, checkNumber(0, 20, "ms") },
        { "drain-limit-ms", "300000", "Maximum wait for running requests at shutdown, in ms.", false, false, checkNumber(0, 3'600'000, "ms") },
        { "drain-notice-ms", "2000", "Time at shutdown for which callers are still accepted, so that load balancers can detect the shutdown, in ms.", false, false, checkNumber(0, 60'000, "ms") },
        { "ownership-policy", "bar-returned", "How the owner of a role is chosen.", false, false, checkOneOf({ "rendezvous", "keep-owner", "bar-returned" }) },
        { "cache-block-tokens", "4000", "Tokens of a KV-cache block; the same on every host and runner.", false, false, checkNumber(1, 1'000'000, "tokens") },
        { "cache-imports", "on", "Whether runners import blocks from stores.", false, false, checkOneOf({ "on", "off" }) },
        { "cache-exports", "on", "Whether new blocks are written to stores.", false, false, checkOneOf({ "on", "off" }) },
        { "rollouts", "on", "Whether this host commands runners to load what the tables specify for their pool.", false, false, checkOneOf({ "on", "off" }) },
        { "log-level", "info", "Minimum level of logged lines.", false, false, checkOneOf({ "debug", "info", "warning", "error" }) },
        { "scheduling-policy", "fair-share", "How runners are chosen: fair-share, or a baseline for benchmarks.", false, false,
            checkOneOf({ "fair-share", "first-come", "round-robin", "least-loaded" }) },
        { "cache-blocks-per-runner", "256", "Assumed capacity of a runner's cache, in blocks.", false, false, checkNumber(0, 1'000'000, "blocks") },
        { "cache-half-life-ms", "300000", "Time after which an unused block is assumed to be still in a runner's cache with a probability of one half, in ms.",
            false, false, checkNumber(1, 86'400'000, "ms") },
        { "imports-per-link", "4", "Maximum number of concurrent block imports over one link; one of them is reserved for urgent requests.", false, false,
            checkNumber(2, 1'000, "imports") },
        { "print-settings", "", "Print the effective settings with their origin and exit.", false, true, nullptr },
        { "help", "", "Print this help and exit.", false, true, nullptr },
    };
    return OptionSet("CHIVESHELF", std::move(specs));
}

DaemonSettings readDaemonSettings(const OptionSet& options, std::vector<std::string>& problems)
{
    DaemonSettings settings;
    settings.hostName = options.text("host-name");
    settings.dataCentre = options.text("data-centre");
    settings.callerAddress = options.address("listen");
    settings.adminAddress = options.address("admin-listen");
    settings.peerAddress = options.address("peer-listen");
    settings.advertisedPeerAddress = options.text("peer-advertise").empty() ? settings.peerAddress : options.address("peer-advertise");
    settings.platformAddress = options.address("platform");
    settings.idempotency.shards = static_cast<std::uint32_t>(options.number("idempotency-shards"));
    settings.idempotency.window = std::chrono::milliseconds(options.number("idempotency-window-ms"));
    settings.drainLimit = std::chrono::milliseconds(options.number("drain-limit-ms"));
    settings.drainNotice = std::chrono::milliseconds(options.number("drain-notice-ms"));
    const auto policy = options.text("ownership-policy");
    if (policy == "keep-owner")
        settings.ownershipPolicy = OwnershipPolicy::KeepOwner;
    else if (policy == "rendezvous")
        settings.ownershipPolicy = OwnershipPolicy::Rendezvous;
    settings.areRolloutsEnabled = options.text("rollouts") == "on";
    settings.logLevel = options.text("log-level");
    settings.schedulingPolicy = options.text("scheduling-policy");
    settings.cacheBlocksPerRunner = options.number("cache-blocks-per-runner");
    settings.cacheHalfLife = std::chrono::milliseconds(options.number("cache-half-life-ms"));
    settings.importsPerLink = options.number("imports-per-link");
    settings.cache = { options.number("cache-block-tokens"), options.text("cache-imports") == "on", options.text("cache-exports") == "on" };
    checkDifferentAddresses(options, { "listen", "admin-listen", "peer-listen", "platform" }, problems);
    return settings;
}

}

#include "Fleet.h"
#include "chiveshelf/settings/OptionSet.h"
#include "endtoend/LoadClient.h"
#include "endtoend/ProcessUsage.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <iostream>
#include <sstream>
#include <thread>

namespace {

using chiveshelf::http::Verb;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr int firstNetwork = 210;
constexpr auto startTimeout = std::chrono::seconds(30);

// Measured values for one fleet size and load.
struct Measurement {
    int hosts = 0;
    int dataCentres = 0;
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
    // Percentage of one core, mean over the hosts.
    double cpuPercent = 0;
    double memoryMb = 0;
    // Bytes of the datagrams that a host sends and receives, mean over the hosts.
    double datagramBytesPerSecond = 0;
    // Calls of the whole fleet, including long-poll watches.
    double platformCallsPerSecond = 0;
};

// Sums of counters in the /state documents of all hosts.
struct Counters {
    double datagramBytes = 0;
    double platformCalls = 0;
};

Counters readCounters(const support::Fleet& fleet)
{
    Counters out;
    for (const auto& [name, host] : fleet.hosts()) {
        const auto state = json::parse(support::call(host.admin, Verb::get, "/state").body, nullptr, false);
        if (!state.is_object())
            continue;
        const auto membership = state.value("membership", json::object());
        out.datagramBytes += membership.value("sent_bytes", 0.0) + membership.value("received_bytes", 0.0);
        out.platformCalls += state.value("platform_calls", 0.0);
    }
    return out;
}

std::vector<int> processIds(support::Fleet& fleet)
{
    std::vector<int> ids;
    for (const auto& [name, host] : fleet.hosts())
        ids.push_back(fleet.process(name).id());
    return ids;
}

std::vector<bench::PlannedRequest> plan(double requestsPerSecond, std::int64_t tokens, milliseconds duration)
{
    std::vector<bench::PlannedRequest> out;
    const auto count = static_cast<int>(requestsPerSecond * static_cast<double>(duration.count()) / 1'000);
    for (int i = 0; i < count; ++i) {
        bench::PlannedRequest request;
        request.startAt = duration * i / count;
        request.organisation = "org-" + std::to_string(i % 10);
        request.model = "desk-model";
        request.prompt = "capacity " + std::to_string(i);
        request.maxTokens = tokens;
        request.dataCentre = static_cast<std::size_t>(i % 2);
        out.push_back(request);
    }
    return out;
}

Measurement measure(int hosts, double requestsPerSecond, std::int64_t tokens, milliseconds settleTime, milliseconds duration, int network)
{
    constexpr int dataCentres = 2;
    support::Fleet fleet(network);
    fleet.startPlatform();
    const std::vector<std::string> runnerFlags { "--slots", "64", "--prefill-us-per-token", "1", "--token-ms", "5" };
    for (int i = 0; i < dataCentres * 2; ++i)
        fleet.startRunner("runner-" + std::to_string(i), "dc-" + std::to_string(i % dataCentres), runnerFlags);
    for (int i = 0; i < hosts; ++i)
        fleet.startHost("host-" + std::to_string(i), "dc-" + std::to_string(i % dataCentres), { "--log-level", "error" });
    fleet.writeHostList();
    auto tables = fleet.defaultTables();
    tables.pools.front().slotsPerRunner = 64;
    fleet.applyTables(tables);
    fleet.waitForRevision(1, startTimeout);
    std::this_thread::sleep_for(settleTime);
    std::vector<std::vector<chiveshelf::Address>> callers(dataCentres);
    for (const auto& [name, host] : fleet.hosts())
        callers[host.dataCentre == "dc-0" ? 0 : 1].push_back(host.caller);

    const auto before = readCounters(fleet);
    const auto cpuBefore = bench::cpuSeconds(processIds(fleet));
    const auto start = std::chrono::steady_clock::now();
    bench::runLoad(plan(requestsPerSecond, tokens, duration), callers, {});
    std::this_thread::sleep_until(start + duration);
    const auto seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    const auto cpu = bench::cpuSeconds(processIds(fleet)) - cpuBefore;
    const auto after = readCounters(fleet);

    Measurement out;
    out.hosts = hosts;
    out.dataCentres = dataCentres;
    out.requestsPerSecond = requestsPerSecond;
    out.tokensPerSecond = requestsPerSecond * static_cast<double>(tokens);
    out.cpuPercent = 100 * cpu / seconds / hosts;
    out.memoryMb = bench::largestMemoryMb(processIds(fleet));
    out.datagramBytesPerSecond = (after.datagramBytes - before.datagramBytes) / seconds / hosts;
    out.platformCallsPerSecond = (after.platformCalls - before.platformCalls) / seconds;
    return out;
}

void printRow(const Measurement& row)
{
    std::printf("| %d | %d | %.0f | %.0f | %.2f | %.1f | %.0f | %.2f |\n", row.hosts, row.dataCentres, row.requestsPerSecond,
        row.tokensPerSecond, row.cpuPercent, row.memoryMb, row.datagramBytesPerSecond, row.platformCallsPerSecond);
    std::fflush(stdout);
}

std::vector<int> parseSizes(const std::string& text)
{
    std::vector<int> out;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');)
        out.push_back(std::atoi(part.c_str()));
    return out;
}

}

int main(int argc, char** argv)
{
    using chiveshelf::checkNumber;
    chiveshelf::OptionSet options("CHIVESHELF_CAPACITY",
        {
            { "sizes", "4,16,64", "Numbers of hosts to measure idle, comma-separated.", false, false, nullptr },
            { "loads", "20,40,80", "Requests per second to measure with four hosts, comma-separated.", false, false, nullptr },
            { "tokens", "16,64,256", "Output tokens of a request, comma-separated, measured at the first load.", false, false, nullptr },
            { "settle-ms", "4000", "Wait before a measurement; membership updates of the simultaneous start decrease within a minute.", false, false, checkNumber(0, 600'000, "ms") },
            { "duration-ms", "8000", "Length of one measurement.", false, false, checkNumber(1'000, 600'000, "ms") },
            { "help", "", "Print this help and exit.", false, true, nullptr },
        });
    for (const auto& problem : options.parse(argc, argv))
        std::cerr << problem << "\n";
    if (options.isSet("help")) {
        std::cout << "Usage: chiveshelf_capacity [flags]\n\nMeasures what a host costs by fleet size and by load.\n\n"
                  << options.help();
        return 0;
    }
    constexpr int loadedHosts = 4;
    constexpr std::int64_t shortAnswerTokens = 16;
    const milliseconds settleTime(options.number("settle-ms"));
    const milliseconds duration(options.number("duration-ms"));
    const auto loads = parseSizes(options.text("loads"));
    int network = firstNetwork;
    std::cout << "| hosts | data centres | requests/s | tokens/s | CPU % of a core per host | largest RSS MB | datagram B/s per host | "
                 "platform calls/s, fleet |\n|---|---|---|---|---|---|---|---|\n";
    for (const int hosts : parseSizes(options.text("sizes")))
        printRow(measure(hosts, 0, shortAnswerTokens, settleTime, duration, network++));
    for (const int load : loads)
        printRow(measure(loadedHosts, load, shortAnswerTokens, settleTime, duration, network++));
    for (const int tokens : parseSizes(options.text("tokens")))
        printRow(measure(loadedHosts, loads.empty() ? 1 : loads.front(), tokens, settleTime, duration, network++));
}

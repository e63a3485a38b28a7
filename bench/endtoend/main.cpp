#include "chiveshelf/settings/OptionSet.h"
#include "endtoend/BenchFleet.h"
#include "endtoend/ProcessUsage.h"
#include "endtoend/Report.h"

#include <csignal>
#include <fstream>
#include <iostream>

namespace {

using std::chrono::milliseconds;

constexpr int firstNetwork = 100;
constexpr int networkCount = 100;

// Sends the warm-up, whose later conversations evict the earlier ones from the runners' caches, and then the measured load.
bench::RunResult runOnce(const bench::Scenario& scenario, const bench::Deployment& deployment, const std::string& policy, milliseconds duration,
    std::uint64_t seed, int network)
{
    bench::BenchFleet fleet(deployment, policy, network);
    bench::runLoad(bench::planWarmUp(scenario, deployment, seed), fleet.callerAddresses(), {});
    const auto cpuBefore = bench::cpuSeconds(fleet.hostProcessIds());
    const auto bytesBefore = fleet.linkBytes();
    std::vector<bench::TimedAction> actions;
    if (scenario.disturbance != bench::Disturbance::None)
        actions.push_back({ duration / 3, [&] { fleet.disturb(scenario.disturbance); } });
    const auto requests = bench::planRequests(scenario, deployment, duration, seed);
    auto result = bench::evaluate(scenario.name, policy, bench::runLoad(requests, fleet.callerAddresses(), actions), duration);
    result.linkBytes = fleet.linkBytes() - bytesBefore;
    const auto seconds = static_cast<double>(duration.count()) / 1'000;
    result.hostCpuPercent = 100 * (bench::cpuSeconds(fleet.hostProcessIds()) - cpuBefore) / seconds / static_cast<double>(fleet.hostCount());
    result.hostMemoryMb = bench::largestMemoryMb(fleet.hostProcessIds());
    return result;
}

bool isSelected(const std::string& choice, const std::string& name)
{
    return choice.empty() || ("," + choice + ",").find("," + name + ",") != std::string::npos;
}

}

int main(int argc, char** argv)
{
    using chiveshelf::checkNumber;
    chiveshelf::OptionSet options("CHIVESHELF_BENCH",
        {
            { "deployment", "pellham", "Sizes and names.", false, false, chiveshelf::checkOneOf({ "pellham", "glowline" }) },
            { "scenario", "", "Comma-separated scenarios; all if empty.", false, false, nullptr },
            { "policy", "", "Comma-separated policies; all of a scenario if empty.", false, false, nullptr },
            { "duration-ms", "5000", "Length of the measured load of a run.", false, false, checkNumber(1'000, 600'000, "ms") },
            { "seed", "1", "Seed of the workload.", false, false, checkNumber(0, 4'294'967'295, "") },
            { "json", "", "File for the results as JSON.", false, false, nullptr },
            { "help", "", "Print this help and exit.", false, true, nullptr },
        });
    const auto problems = options.parse(argc, argv);
    if (options.isSet("help")) {
        std::cout << "Usage: chiveshelf_bench [flags]\n\nRuns each scenario under each policy with real processes.\n\n"
                  << options.help();
        return 0;
    }
    for (const auto& problem : problems)
        std::cerr << "chiveshelf_bench: " << problem << "\n";
    if (!problems.empty())
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    const auto deployment = bench::makeDeployment(options.text("deployment"));
    auto results = nlohmann::ordered_json::array();
    int network = firstNetwork;
    std::cout << bench::tableHeader();
    for (const auto& scenario : bench::makeScenarios()) {
        for (const auto& policy : scenario.policies) {
            if (!isSelected(options.text("scenario"), scenario.name) || !isSelected(options.text("policy"), policy))
                continue;
            const auto result = runOnce(scenario, deployment, policy, milliseconds(options.number("duration-ms")),
                static_cast<std::uint64_t>(options.number("seed")), network);
            network = firstNetwork + (network - firstNetwork + 1) % networkCount;
            std::cout << bench::tableRow(result) << std::flush;
            results.push_back(bench::toJson(result));
        }
    }
    if (options.isSet("json"))
        std::ofstream(options.text("json")) << results.dump(2) << "\n";
}

#include "chiveshelf/settings/OptionSet.h"
#include "fakes/FakeRunner.h"

#include <iostream>

int main(int argc, char** argv)
{
    using chiveshelf::checkNumber;
    chiveshelf::OptionSet options("FAKE_RUNNER",
        {
            { "listen", "", "IP:PORT.", true, false, chiveshelf::checkAddress() },
            { "model-version", "v1", "Version of the loaded weights.", false, false, chiveshelf::checkName() },
            { "slots", "8", "Requests that run at the same time.", false, false, checkNumber(1, 10'000, "requests") },
            { "prefill-us-per-token", "20", "Time to compute a prompt token.", false, false, checkNumber(0, 1'000'000, "us") },
            { "token-ms", "5", "Time between output tokens.", false, false, checkNumber(0, 60'000, "ms") },
            { "cache-blocks", "64", "Blocks in the prefix cache.", false, false, checkNumber(1, 1'000'000, "blocks") },
            { "block-tokens", "4000", "Tokens of a block.", false, false, checkNumber(1, 1'000'000, "tokens") },
            { "bytes-per-token", "64", "Bytes of block data for each token.", false, false, checkNumber(1, 1'000'000, "bytes") },
            { "load-ms", "250", "Time to load weights.", false, false, checkNumber(0, 600'000, "ms") },
            { "report-lag-ms", "100", "Age of the load report.", false, false, checkNumber(1, 600'000, "ms") },
            { "event-delay-ms", "200", "Delay of cache events.", false, false, checkNumber(0, 600'000, "ms") },
            { "event-loss-percent", "5", "Share of cache events that are lost.", false, false, checkNumber(0, 100, "percent") },
            { "seed", "1", "Seed of the lost events.", false, false, checkNumber(0, 4'294'967'295, "") },
            { "fencing", "check", "Whether old fencing tokens are refused.", false, false, chiveshelf::checkOneOf({ "check", "ignore" }) },
            { "crash-marker", "CRASH-THE-RUNNER", "A prompt with this text ends the process.", false, false, nullptr },
        });
    const auto problems = options.parse(argc, argv);
    for (const auto& problem : problems)
        std::cerr << problem << "\n";
    if (!problems.empty())
        return 2;
    boost::asio::io_context context(1);
    fakes::FakeRunnerSettings settings;
    settings.version = options.text("model-version");
    settings.slots = static_cast<int>(options.number("slots"));
    settings.perPromptToken = std::chrono::microseconds(options.number("prefill-us-per-token"));
    settings.perOutputToken = std::chrono::milliseconds(options.number("token-ms"));
    settings.cacheBlocks = static_cast<std::size_t>(options.number("cache-blocks"));
    settings.blockTokens = options.number("block-tokens");
    settings.bytesPerToken = options.number("bytes-per-token");
    settings.loadTime = std::chrono::milliseconds(options.number("load-ms"));
    settings.reportInterval = std::chrono::milliseconds(options.number("report-lag-ms"));
    settings.eventDelay = std::chrono::milliseconds(options.number("event-delay-ms"));
    settings.eventLossPercent = static_cast<int>(options.number("event-loss-percent"));
    settings.seed = static_cast<std::uint32_t>(options.number("seed"));
    settings.checksFencingToken = options.text("fencing") == "check";
    settings.crashMarker = options.text("crash-marker");
    fakes::FakeRunner fake(context, settings);
    const auto started = fake.start(options.address("listen"));
    if (!started) {
        std::cerr << started.error().message << "\n";
        return 1;
    }
    context.run();
}

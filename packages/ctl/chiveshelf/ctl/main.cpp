#include "chiveshelf/ctl/HostCommands.h"
#include "chiveshelf/settings/OptionSet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <charconv>
#include <iostream>
#include <sstream>

namespace {

using chiveshelf::ExitCode;
using chiveshelf::OutputFormat;
using Words = std::vector<std::string>;

constexpr chiveshelf::http::CallLimits platformTimeLimits { std::chrono::milliseconds(1'000), std::chrono::milliseconds(3'000) };

// Parses a list of addresses separated by commas. Returns nullopt if one of them is invalid.
std::optional<std::vector<chiveshelf::Address>> parseAddresses(const std::string& text)
{
    std::vector<chiveshelf::Address> out;
    std::istringstream in(text);
    for (std::string word; std::getline(in, word, ',');) {
        const auto address = chiveshelf::parseAddress(word);
        if (!address)
            return std::nullopt;
        out.push_back(*address);
    }
    return out;
}

chiveshelf::OptionSet makeOptions()
{
    const auto checkAddresses = [](const std::string& text) { return std::string(parseAddresses(text) ? "" : "must be IP:PORT,IP:PORT,..."); };
    return { "CHIVESCTL",
        {
            { "platform", "", "IP:PORT of the platform's key-value service.", false, false, chiveshelf::checkAddress() },
            { "hosts", "", "Admin addresses IP:PORT,IP:PORT,... of the hosts to ask, in place of the platform's list.", false, false, checkAddresses },
            { "timeout-ms", "4000", "Longest time that wait takes, in ms.", false, false, chiveshelf::checkNumber(0, 3'600'000, "ms") },
            { "json", "", "Print results as JSON.", false, true, nullptr },
            { "help", "", "Print this help and exit.", false, true, nullptr },
        } };
}

void printUsage(const chiveshelf::OptionSet& options)
{
    std::cout << R"(Usage: chivesctl COMMAND [ARGUMENTS] [flags]

Commands:
  show                               print the tables
  validate FILE                      check a tables file; needs no platform
  diff FILE                          print what apply would change
  apply FILE                         write the tables of a file
  edit set TABLE ROW FIELD=VALUE...  set fields of a row of routes or pools
  edit unset TABLE ROW FIELD...      unset fields of a row
  edit add TABLE FIELD=VALUE...      add a row
  edit remove TABLE ROW              remove a row
  wait REVISION                      wait until a revision is in force on every host
  state [HOST...]                    print the state of hosts
  drain HOST                         let a host finish its requests and stop
  hosts                              list the hosts
  runners                            list the runners with their health

Several edits in one step are joined by the word "and". The "revision" in a file is the one that the file was made from:
apply changes only the rows that differ from it, and refuses rows that another edit has changed since. A file without
"revision", or with 0, replaces the tables.

Examples:
  chivesctl show > tables.json; vi tables.json; chivesctl diff tables.json; chivesctl apply tables.json
  chivesctl edit set routes desk weight=5 max_priority=urgent
  chivesctl edit set pools desk targets_ms.urgent=450
  chivesctl edit remove routes old and remove pools old
  chivesctl wait 17 --timeout-ms 10000
  chivesctl drain hartford-3
  chivesctl state --hosts 10.0.0.7:9090 --json

Exit codes:
  0 success               1 internal failure       2 wrong arguments or unreadable file
  3 invalid tables        4 conflict with another edit
  5 platform or host unavailable; nothing was written
  6 diff found changes    7 not in force on every host
  8 the outcome of an edit is unknown

Flags:
)" << options.help();
}

ExitCode reportWrongArguments()
{
    std::cerr << "chivesctl: unknown command or wrong arguments; see --help\n";
    return ExitCode::Usage;
}

boost::asio::awaitable<ExitCode> runTableCommand(chiveshelf::TableEditor& editor, Words words, OutputFormat format)
{
    if (words[0] == "show" && words.size() == 1)
        co_return co_await chiveshelf::showTables(editor, format);
    if (words[0] == "diff" && words.size() == 2)
        co_return co_await chiveshelf::diffFile(editor, words[1], format);
    if (words[0] == "apply" && words.size() == 2)
        co_return co_await chiveshelf::applyFile(editor, words[1], format);
    if (words[0] == "edit" && words.size() > 1) {
        Words arguments(words.begin() + 1, words.end());
        co_return co_await chiveshelf::editRows(editor, std::move(arguments), format);
    }
    co_return reportWrongArguments();
}

boost::asio::awaitable<ExitCode> runHostCommand(chiveshelf::HostContext& host, Words words, std::chrono::milliseconds limit)
{
    if (words[0] == "wait" && words.size() == 2) {
        std::uint64_t revision = 0;
        const auto* textEnd = words[1].data() + words[1].size();
        const auto [end, status] = std::from_chars(words[1].data(), textEnd, revision);
        if (status != std::errc() || end != textEnd)
            co_return reportWrongArguments();
        co_return co_await chiveshelf::waitForRevision(host, revision, limit);
    }
    if (words[0] == "state") {
        Words names(words.begin() + 1, words.end());
        co_return co_await chiveshelf::showState(host, std::move(names));
    }
    if (words[0] == "drain" && words.size() == 2)
        co_return co_await chiveshelf::drainHost(host, words[1]);
    if (words[0] == "hosts" && words.size() == 1)
        co_return co_await chiveshelf::listHosts(host);
    co_return reportWrongArguments();
}

bool needsPlatform(const std::string& command, const chiveshelf::OptionSet& options)
{
    const bool isAboutHosts = command == "wait" || command == "state" || command == "drain" || command == "hosts";
    return !isAboutHosts || !options.isSet("hosts");
}

}

int main(int argc, char** argv)
{
    auto options = makeOptions();
    const auto problems = options.parse(argc, argv);
    for (const auto& problem : problems)
        std::cerr << "chivesctl: " << problem << "\n";
    if (!problems.empty())
        return static_cast<int>(ExitCode::Usage);
    const auto& words = options.arguments();
    if (options.isSet("help") || words.empty()) {
        printUsage(options);
        return static_cast<int>(options.isSet("help") ? ExitCode::Success : ExitCode::Usage);
    }
    const auto format = options.isSet("json") ? OutputFormat::Json : OutputFormat::Text;
    if (words[0] == "validate" && words.size() == 2)
        return static_cast<int>(chiveshelf::validateFile(words[1], format));
    if (needsPlatform(words[0], options) && !options.isSet("platform")) {
        std::cerr << "chivesctl: --platform is required\n";
        return static_cast<int>(ExitCode::Usage);
    }
    boost::asio::io_context context(1);
    chiveshelf::http::Client client(context);
    chiveshelf::HttpPlatform platform(client, options.address("platform"), platformTimeLimits);
    chiveshelf::TableEditor editor(context, platform);
    chiveshelf::HostContext host { context, client, platform, parseAddresses(options.text("hosts")).value_or(std::vector<chiveshelf::Address> {}), format };
    auto code = ExitCode::Failed;
    const auto finish = [&](std::exception_ptr exception, ExitCode result) {
        if (!exception)
            code = result;
        context.stop();
    };
    const bool isAboutHosts = words[0] == "wait" || words[0] == "state" || words[0] == "drain" || words[0] == "hosts";
    if (isAboutHosts)
        boost::asio::co_spawn(context, runHostCommand(host, words, std::chrono::milliseconds(options.number("timeout-ms"))), finish);
    else if (words[0] == "runners" && words.size() == 1)
        boost::asio::co_spawn(context, chiveshelf::listRunners(host, editor), finish);
    else
        boost::asio::co_spawn(context, runTableCommand(editor, words, format), finish);
    context.run();
    return static_cast<int>(code);
}

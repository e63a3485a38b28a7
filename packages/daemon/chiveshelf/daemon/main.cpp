#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Tasks.h"
#include "chiveshelf/daemon/Daemon.h"
#include "chiveshelf/gateway/Gateway.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace {

// Exit codes, documented in docs/OPERATIONS.md.
constexpr int exitSettings = 2;
constexpr int exitListen = 3;

chiveshelf::LogLevel levelFromName(const std::string& name)
{
    if (name == "debug")
        return chiveshelf::LogLevel::Debug;
    if (name == "warning")
        return chiveshelf::LogLevel::Warning;
    return name == "error" ? chiveshelf::LogLevel::Error : chiveshelf::LogLevel::Info;
}

}

int main(int argc, char** argv)
{
    if (argc > 1 && std::string_view(argv[1]) == "gateway")
        return chiveshelf::runGateway(argc - 1, argv + 1);
    auto options = chiveshelf::makeDaemonOptions();
    auto problems = options.parse(argc, argv);
    if (options.isSet("help")) {
        std::cout << "Usage: chiveshelfd [flags]\n       chiveshelfd gateway [flags]\n\nThe serving process of an entry host.\n\n"
                  << options.help();
        return 0;
    }
    for (const auto& argument : options.arguments())
        problems.push_back(argument + ": unexpected argument");
    const auto settings = chiveshelf::readDaemonSettings(options, problems);
    if (options.isSet("print-settings"))
        std::cout << options.describe();
    for (const auto& problem : problems)
        std::cerr << "chiveshelfd: " << problem << "\n";
    if (!problems.empty())
        return exitSettings;
    if (options.isSet("print-settings"))
        return 0;
    std::signal(SIGPIPE, SIG_IGN);
    chiveshelf::initializeLog(settings.hostName, levelFromName(settings.logLevel));
    boost::asio::io_context context(1);
    chiveshelf::Daemon daemon(context, settings);
    const auto started = daemon.start();
    if (!started) {
        chiveshelf::logEvent(chiveshelf::LogLevel::Error, "start_failed", { { "error", started.error().message } });
        return exitListen;
    }
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](boost::system::error_code ec, int) {
        if (!ec)
            daemon.drain();
    });
    chiveshelf::runGuarded(context);
    return 0;
}

#include "chiveshelf/settings/OptionSet.h"
#include "fakes/FaultProxy.h"

#include <iostream>

int main(int argc, char** argv)
{
    chiveshelf::OptionSet options("FAKE_FAULT_PROXY", { { "listen", "", "IP:PORT of the control port.", true, false, chiveshelf::checkAddress() } });
    for (const auto& problem : options.parse(argc, argv))
        std::cerr << problem << "\n";
    boost::asio::io_context context(1);
    fakes::FaultProxy proxy(context);
    const auto started = proxy.start(options.address("listen"));
    if (!started) {
        std::cerr << started.error().message << "\n";
        return 1;
    }
    context.run();
}

#include "chiveshelf/settings/OptionSet.h"
#include "fakes/FakeService.h"

#include <iostream>

int main(int argc, char** argv)
{
    chiveshelf::OptionSet options("FAKE_SERVICE", { { "listen", "", "IP:PORT.", true, false, chiveshelf::checkAddress() } });
    for (const auto& problem : options.parse(argc, argv))
        std::cerr << problem << "\n";
    boost::asio::io_context context(1);
    fakes::FakeService fake(context);
    const auto started = fake.start(options.address("listen"));
    if (!started) {
        std::cerr << started.error().message << "\n";
        return 1;
    }
    context.run();
}

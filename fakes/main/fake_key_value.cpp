#include "chiveshelf/settings/OptionSet.h"
#include "fakes/FakeKeyValue.h"

#include <iostream>

int main(int argc, char** argv)
{
    chiveshelf::OptionSet options("FAKE_KEY_VALUE",
        {
            { "listen", "", "IP:PORT.", true, false, chiveshelf::checkAddress() },
            { "second-listen", "", "IP:PORT of a second listener with the same data and faults of its own.", false, false, chiveshelf::checkAddress() },
        });
    const auto problems = options.parse(argc, argv);
    for (const auto& problem : problems)
        std::cerr << problem << "\n";
    if (!problems.empty())
        return 2;
    boost::asio::io_context context(1);
    fakes::FakeKeyValue fake(context);
    for (const auto* name : { "listen", "second-listen" }) {
        if (!options.isSet(name))
            continue;
        const auto started = fake.start(options.address(name));
        if (!started) {
            std::cerr << started.error().message << "\n";
            return 1;
        }
    }
    context.run();
}

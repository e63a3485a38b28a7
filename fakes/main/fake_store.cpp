#include "chiveshelf/settings/OptionSet.h"
#include "fakes/FakeStore.h"

#include <iostream>

int main(int argc, char** argv)
{
    const auto checkBytes = chiveshelf::checkNumber(1, std::int64_t { 1 } << 40, "bytes");
    chiveshelf::OptionSet options("FAKE_STORE",
        {
            { "listen", "", "IP:PORT.", true, false, chiveshelf::checkAddress() },
            { "memory-bytes", "67108864", "Size of the memory tier.", false, false, checkBytes },
            { "disk-bytes", "268435456", "Size of the disk tier.", false, false, checkBytes },
            { "link-bytes-per-second", "209715200", "Speed of the link, shared by all transfers.", false, false, checkBytes },
            { "disk-bytes-per-second", "104857600", "Speed of reads from the disk tier.", false, false, checkBytes },
        });
    const auto problems = options.parse(argc, argv);
    for (const auto& problem : problems)
        std::cerr << problem << "\n";
    if (!problems.empty())
        return 2;
    boost::asio::io_context context(1);
    const fakes::FakeStoreSettings settings { options.number("memory-bytes"), options.number("disk-bytes"), options.number("link-bytes-per-second"),
        options.number("disk-bytes-per-second") };
    fakes::FakeStore fake(context, settings);
    const auto started = fake.start(options.address("listen"));
    if (!started) {
        std::cerr << started.error().message << "\n";
        return 1;
    }
    context.run();
}

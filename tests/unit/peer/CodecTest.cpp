#include "chiveshelf/peer/Codec.h"
#include "chiveshelf/peer/DatagramChannel.h"

#include <boost/asio/steady_timer.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <sys/resource.h>

namespace {

using namespace chiveshelf;

struct Row {
    std::uint64_t number = 0;
    std::string text;

    bool operator==(const Row&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(number, text);
    }
};

struct Rows {
    static constexpr peer::DatagramType datagramType = peer::DatagramType::LoadNotice;

    std::vector<Row> rows;
    std::vector<std::uint32_t> numbers;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(rows, numbers);
    }
};

class CodecTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CodecTest);
    CPPUNIT_TEST(decodedMessageEqualsEncodedMessage);
    CPPUNIT_TEST(decodeWithExcessiveElementCountFailsWithBoundedMemory);
    CPPUNIT_TEST(truncatedMessageFailsAndCorruptMessageDoesNotCrash);
    CPPUNIT_TEST(channelAfterHandlerExceptionStillReceives);
    CPPUNIT_TEST_SUITE_END();

public:
    void decodedMessageEqualsEncodedMessage()
    {
        const Rows rows { { { 1, "a" }, { 2, std::string(200'000, 'b') } }, { 7, 8, 9 } };
        const auto decoded = peer::decode<Rows>(peer::encode(rows));
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT(decoded->rows == rows.rows);
        CPPUNIT_ASSERT(decoded->numbers == rows.numbers);
    }

    // Guards against a corrupt message whose element count makes the process allocate memory until it is killed.
    void decodeWithExcessiveElementCountFailsWithBoundedMemory()
    {
        const auto before = peakKilobytes();
        for (const std::uint64_t claimedCount : { std::uint64_t(20'000'000), std::uint64_t(1) << 40 }) {
            auto bytes = peer::encode(Rows { {}, {} });
            // The number of rows follows the byte that marks the byte order.
            std::memcpy(bytes.data() + 1, &claimedCount, sizeof(claimedCount));
            CPPUNIT_ASSERT(!peer::decode<Rows>(bytes));
            auto text = peer::encode(Row { 1, "abc" });
            std::memcpy(text.data() + 1 + sizeof(std::uint64_t), &claimedCount, sizeof(claimedCount));
            CPPUNIT_ASSERT(!peer::decode<Row>(text));
        }
        constexpr long maxKilobytes = 32 * 1'024;
        CPPUNIT_ASSERT(peakKilobytes() - before < maxKilobytes);
    }

    void truncatedMessageFailsAndCorruptMessageDoesNotCrash()
    {
        const auto encoded = peer::encode(Rows { { { 1, "abc" } }, { 7, 8 } });
        for (std::size_t i = 0; i < encoded.size(); ++i) {
            CPPUNIT_ASSERT(!peer::decode<Rows>(encoded.substr(0, i)));
            for (int change = 1; change < 256; change += 17) {
                auto corrupted = encoded;
                corrupted[i] = static_cast<char>(corrupted[i] ^ change);
                peer::decode<Rows>(corrupted);
            }
        }
    }

    // Guards against an exception in a handler that ends the receive loop, so that all later datagrams are lost.
    void channelAfterHandlerExceptionStillReceives()
    {
        boost::asio::io_context context(1);
        peer::DatagramChannel sender(context);
        peer::DatagramChannel receiver(context);
        const Address from { "127.0.71.1", 7'201 };
        const Address to { "127.0.71.2", 7'201 };
        int n = 0;
        receiver.handle<Rows>([&](const Address&, const Rows&) {
            if (++n == 1)
                throw std::runtime_error("unexpected");
        });
        CPPUNIT_ASSERT(sender.start(from));
        CPPUNIT_ASSERT(receiver.start(to));
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
        while (n < 2 && std::chrono::steady_clock::now() < end) {
            sender.send(to, Rows {});
            context.run_for(std::chrono::milliseconds(20));
        }
        CPPUNIT_ASSERT(n >= 2);
    }

private:
    static long peakKilobytes()
    {
        rusage usage {};
        ::getrusage(RUSAGE_SELF, &usage);
        return usage.ru_maxrss;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

}

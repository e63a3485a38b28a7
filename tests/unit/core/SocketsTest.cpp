#include "chiveshelf/core/Sockets.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

namespace {

using namespace chiveshelf;
namespace asio = boost::asio;

class SocketsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SocketsTest);
    CPPUNIT_TEST(listenOnUsedAddressFailsWithAddressInMessage);
    CPPUNIT_TEST(openConnectionWithoutUnreadBytesIsReusable);
    CPPUNIT_TEST(connectionWithUnexpectedBytesIsNotReusable);
    CPPUNIT_TEST(connectionClosedByPeerIsNotReusable);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        CPPUNIT_ASSERT(listenOn(m_acceptor, { "127.71.1.1", 0 }));
        m_client.connect(m_acceptor.local_endpoint());
        m_acceptor.accept(m_server);
    }

    void listenOnUsedAddressFailsWithAddressInMessage()
    {
        asio::ip::tcp::acceptor second(m_context);
        const auto result = listenOn(second, { "127.71.1.1", m_acceptor.local_endpoint().port() });
        CPPUNIT_ASSERT(!result);
        CPPUNIT_ASSERT(result.error().code == ErrorCode::Unavailable);
        CPPUNIT_ASSERT(result.error().message.starts_with("cannot listen on 127.71.1.1:"));
    }

    void openConnectionWithoutUnreadBytesIsReusable()
    {
        CPPUNIT_ASSERT(isReusable(m_client));
    }

    void connectionWithUnexpectedBytesIsNotReusable()
    {
        asio::write(m_server, asio::buffer("x", 1));
        m_client.wait(asio::socket_base::wait_read);
        CPPUNIT_ASSERT(!isReusable(m_client));
    }

    void connectionClosedByPeerIsNotReusable()
    {
        m_server.close();
        m_client.wait(asio::socket_base::wait_read);
        CPPUNIT_ASSERT(!isReusable(m_client));
    }

private:
    asio::io_context m_context { 1 };
    asio::ip::tcp::acceptor m_acceptor { m_context };
    asio::ip::tcp::socket m_client { m_context };
    asio::ip::tcp::socket m_server { m_context };
};

CPPUNIT_TEST_SUITE_REGISTRATION(SocketsTest);

}

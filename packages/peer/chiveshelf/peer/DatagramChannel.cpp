#include "chiveshelf/peer/DatagramChannel.h"

#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Tasks.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>

namespace chiveshelf::peer {

namespace asio = boost::asio;

namespace {

    // Version of the datagram format. Datagrams of other versions are ignored.
    constexpr char datagramVersion = 1;
    // Version and type, one byte each.
    constexpr std::size_t headerBytes = 2;

}

DatagramChannel::DatagramChannel(asio::io_context& context)
    : m_context(context)
    , m_socket(context)
{
}

Result<void> DatagramChannel::start(const Address& address)
{
    const asio::ip::udp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    boost::system::error_code ec;
    m_socket.open(endpoint.protocol(), ec);
    if (!ec)
        m_socket.bind(endpoint, ec);
    if (!ec)
        m_socket.non_blocking(true, ec);
    if (ec)
        return failure(ErrorCode::Unavailable, "cannot bind UDP " + toString(address) + ": " + ec.message(), Verdict::NotRun);
    spawnLoop(m_context, "datagram_channel.receive_loop", [this] { return receiveLoop(); });
    return {};
}

void DatagramChannel::stop()
{
    boost::system::error_code ec;
    m_socket.close(ec);
}

asio::awaitable<void> DatagramChannel::receiveLoop()
{
    std::array<char, 64 * 1024> buf;
    while (m_socket.is_open()) {
        asio::ip::udp::endpoint from;
        boost::system::error_code ec;
        const auto n = co_await m_socket.async_receive_from(asio::buffer(buf), from, asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted || ec == asio::error::bad_descriptor)
            break;
        // A receive error may report that an earlier datagram could not be delivered; receiving continues.
        if (ec || n < headerBytes || buf[0] != datagramVersion)
            continue;
        m_receivedBytes += n;
        const auto it = m_handlers.find(static_cast<DatagramType>(buf[1]));
        if (it == m_handlers.end())
            continue;
        try {
            it->second({ from.address().to_string(), from.port() }, std::string(buf.data() + headerBytes, n - headerBytes));
        } catch (const std::exception& error) {
            logEvent(LogLevel::Error, "datagram_failed", { { "type", static_cast<int>(buf[1]) }, { "error", error.what() } });
        }
    }
}

void DatagramChannel::sendBytes(const Address& to, DatagramType type, const std::string& payload)
{
    if (payload.size() > maxMessageBytes) {
        logEvent(LogLevel::Error, "datagram_too_long", { { "bytes", payload.size() }, { "type", static_cast<int>(type) } });
        return;
    }
    std::string bytes { datagramVersion, static_cast<char>(type) };
    bytes += payload;
    boost::system::error_code ec;
    m_socket.send_to(asio::buffer(bytes), asio::ip::udp::endpoint(asio::ip::make_address(to.ip), to.port), 0, ec);
    if (!ec)
        m_sentBytes += bytes.size();
}

}

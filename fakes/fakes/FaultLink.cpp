#include "fakes/FaultLink.h"

#include <array>

namespace fakes {

namespace asio = boost::asio;
using asio::redirect_error;
using asio::use_awaitable;
using asio::ip::tcp;
using asio::ip::udp;
using chiveshelf::Address;
using chiveshelf::Result;

namespace {

    constexpr auto frozenPollInterval = std::chrono::milliseconds(5);
    constexpr std::size_t chunkBytes = 16 * 1024;
    constexpr std::size_t datagramBytes = 64 * 1024;

    tcp::endpoint tcpEndpoint(const Address& address)
    {
        return { asio::ip::make_address(address.ip), address.port };
    }

    udp::endpoint udpEndpoint(const Address& address)
    {
        return { asio::ip::make_address(address.ip), address.port };
    }

    // Closes the socket with a TCP reset instead of a normal close.
    void reset(tcp::socket& socket)
    {
        boost::system::error_code ec;
        socket.set_option(asio::socket_base::linger(true, 0), ec);
        socket.close(ec);
    }

}

struct FaultLink::Session {
    Session(asio::io_context& context, tcp::socket accepted)
        : caller(std::move(accepted))
        , target(context)
    {
    }

    tcp::socket caller;
    tcp::socket target;
    bool isSilent = false;
};

struct FaultLink::DatagramSession {
    udp::endpoint caller;
    std::shared_ptr<udp::socket> socket;
};

FaultLink::FaultLink(asio::io_context& context, Address listen, Address target)
    : m_context(context)
    , m_listen(std::move(listen))
    , m_target(std::move(target))
    , m_acceptor(context)
    , m_datagramSocket(std::make_shared<udp::socket>(context))
{
}

Result<void> FaultLink::start()
{
    boost::system::error_code ec;
    const auto endpoint = udpEndpoint(m_listen);
    m_datagramSocket->open(endpoint.protocol(), ec);
    if (!ec)
        m_datagramSocket->bind(endpoint, ec);
    if (ec)
        return chiveshelf::failure(chiveshelf::ErrorCode::Unavailable, "bind: " + ec.message(), chiveshelf::Verdict::NotRun);
    asio::co_spawn(m_context, receiveLoop(), asio::detached);
    return listen();
}

Result<void> FaultLink::listen()
{
    boost::system::error_code ec;
    const auto endpoint = tcpEndpoint(m_listen);
    m_acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec)
        m_acceptor.bind(endpoint, ec);
    if (!ec)
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return chiveshelf::failure(chiveshelf::ErrorCode::Unavailable, "listen: " + ec.message(), chiveshelf::Verdict::NotRun);
    asio::co_spawn(m_context, acceptLoop(), asio::detached);
    return {};
}

Result<void> FaultLink::apply(const nlohmann::json& faults)
{
    m_faults.delay = std::chrono::milliseconds(faults.value("delay_ms", m_faults.delay.count()));
    m_faults.dropPercent = faults.value("drop_percent", m_faults.dropPercent);
    m_faults.cut = faults.value("cut", m_faults.cut);
    m_faults.connections = faults.value("connections", m_faults.connections);
    m_faults.isFrozen = faults.value("frozen", m_faults.isFrozen);
    if (faults.value("silent", false)) {
        for (const auto& session : m_sessions)
            session->isSilent = true;
    }
    boost::system::error_code ec;
    if (m_faults.connections != "accept")
        resetAllSessions();
    if (m_faults.connections == "refuse")
        m_acceptor.close(ec);
    else if (!m_acceptor.is_open())
        return listen();
    return {};
}

nlohmann::json FaultLink::state() const
{
    return { { "listen", toString(m_listen) }, { "target", toString(m_target) }, { "open", m_sessions.size() }, { "accepted", m_acceptedCount } };
}

void FaultLink::resetAllSessions()
{
    for (const auto& session : m_sessions) {
        reset(session->caller);
        reset(session->target);
    }
    m_sessions.clear();
}

bool FaultLink::isDropped(bool isToTarget)
{
    if (m_faults.cut == "both" || m_faults.cut == (isToTarget ? "to_target" : "to_caller"))
        return true;
    return std::uniform_int_distribution<int>(0, 99)(m_random) < m_faults.dropPercent;
}

asio::awaitable<void> FaultLink::sleepFor(std::chrono::milliseconds time)
{
    asio::steady_timer timer(m_context, time);
    boost::system::error_code ec;
    co_await timer.async_wait(redirect_error(use_awaitable, ec));
}

asio::awaitable<void> FaultLink::waitWhileFrozen()
{
    while (m_faults.isFrozen)
        co_await sleepFor(frozenPollInterval);
}

asio::awaitable<void> FaultLink::acceptLoop()
{
    const auto self = shared_from_this();
    while (m_acceptor.is_open()) {
        boost::system::error_code ec;
        tcp::socket socket(m_context);
        co_await m_acceptor.async_accept(socket, redirect_error(use_awaitable, ec));
        if (ec)
            break;
        co_await waitWhileFrozen();
        ++m_acceptedCount;
        if (m_faults.connections == "reset") {
            reset(socket);
            continue;
        }
        auto session = std::make_shared<Session>(m_context, std::move(socket));
        m_sessions.insert(session);
        asio::co_spawn(m_context, forward(session), asio::detached);
    }
}

asio::awaitable<void> FaultLink::forward(std::shared_ptr<Session> session)
{
    const auto self = shared_from_this();
    boost::system::error_code ec;
    co_await session->target.async_connect(tcpEndpoint(m_target), redirect_error(use_awaitable, ec));
    if (ec) {
        reset(session->caller);
        m_sessions.erase(session);
        co_return;
    }
    session->caller.set_option(tcp::no_delay(true), ec);
    session->target.set_option(tcp::no_delay(true), ec);
    asio::co_spawn(m_context, forwardBytes(session, true), asio::detached);
    co_await forwardBytes(session, false);
}

asio::awaitable<void> FaultLink::forwardBytes(std::shared_ptr<Session> session, bool isToTarget)
{
    const auto self = shared_from_this();
    auto& from = isToTarget ? session->caller : session->target;
    auto& to = isToTarget ? session->target : session->caller;
    std::array<char, chunkBytes> buf {};
    boost::system::error_code ec;
    while (true) {
        const auto n = co_await from.async_read_some(asio::buffer(buf), redirect_error(use_awaitable, ec));
        if (m_faults.delay.count() > 0)
            co_await sleepFor(m_faults.delay);
        co_await waitWhileFrozen();
        // A silent connection stays open on both sides, even if one of them closes.
        if (session->isSilent)
            co_return;
        if (ec)
            break;
        if (isDropped(isToTarget))
            continue;
        co_await asio::async_write(to, asio::buffer(buf.data(), n), redirect_error(use_awaitable, ec));
        if (ec)
            break;
    }
    if (ec == asio::error::eof) {
        to.shutdown(tcp::socket::shutdown_send, ec);
        // The caller closed its sending side only; the target's response may still follow.
        if (isToTarget)
            co_return;
    }
    from.close(ec);
    to.close(ec);
    m_sessions.erase(session);
}

asio::awaitable<void> FaultLink::receiveLoop()
{
    const auto self = shared_from_this();
    while (true) {
        boost::system::error_code ec;
        std::string data(datagramBytes, '\0');
        udp::endpoint caller;
        const auto n = co_await m_datagramSocket->async_receive_from(asio::buffer(data), caller, redirect_error(use_awaitable, ec));
        if (ec == asio::error::operation_aborted)
            co_return;
        if (ec)
            continue;
        data.resize(n);
        auto& session = m_datagramSessions[caller];
        if (!session) {
            auto socket = std::make_shared<udp::socket>(m_context, udp::endpoint(asio::ip::make_address(m_listen.ip), 0));
            session = std::make_shared<DatagramSession>(DatagramSession { caller, std::move(socket) });
            asio::co_spawn(m_context, returnLoop(session), asio::detached);
        }
        if (!isDropped(true))
            asio::co_spawn(m_context, sendDatagram(session->socket, udpEndpoint(m_target), std::move(data)), asio::detached);
    }
}

asio::awaitable<void> FaultLink::returnLoop(std::shared_ptr<DatagramSession> session)
{
    const auto self = shared_from_this();
    while (true) {
        boost::system::error_code ec;
        std::string data(datagramBytes, '\0');
        udp::endpoint sender;
        const auto n = co_await session->socket->async_receive_from(asio::buffer(data), sender, redirect_error(use_awaitable, ec));
        if (ec == asio::error::operation_aborted)
            co_return;
        if (ec)
            continue;
        data.resize(n);
        if (!isDropped(false))
            asio::co_spawn(m_context, sendDatagram(m_datagramSocket, session->caller, std::move(data)), asio::detached);
    }
}

asio::awaitable<void> FaultLink::sendDatagram(std::shared_ptr<udp::socket> socket, udp::endpoint to, std::string data)
{
    const auto self = shared_from_this();
    if (m_faults.delay.count() > 0)
        co_await sleepFor(m_faults.delay);
    co_await waitWhileFrozen();
    boost::system::error_code ec;
    co_await socket->async_send_to(asio::buffer(data), to, redirect_error(use_awaitable, ec));
}

}

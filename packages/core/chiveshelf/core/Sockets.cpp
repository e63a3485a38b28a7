#include "chiveshelf/core/Sockets.h"

#include <cerrno>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace chiveshelf {

namespace asio = boost::asio;

Result<void> listenOn(asio::ip::tcp::acceptor& acceptor, const Address& address)
{
    boost::system::error_code ec;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(endpoint, ec);
    if (!ec)
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return failure(ErrorCode::Unavailable, "cannot listen on " + toString(address) + ": " + ec.message(), Verdict::NotRun);
    return {};
}

bool isReusable(asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool isAllAcknowledged(asio::ip::tcp::socket& socket)
{
    int n = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &n) != 0 || n == 0;
}

void enableKeepAliveProbes(asio::ip::tcp::socket& socket, const KeepAliveProbes& probes)
{
    const int fd = socket.native_handle();
    const int on = 1;
    const auto idle = static_cast<int>(probes.idle.count());
    const auto interval = static_cast<int>(probes.interval.count());
    ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes.count, sizeof(probes.count));
}

}

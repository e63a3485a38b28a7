#include "Http.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <cstring>

namespace review {

namespace {

    sockaddr_in endpoint(const std::string& ip, int port)
    {
        sockaddr_in out {};
        out.sin_family = AF_INET;
        out.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
        return out;
    }

    std::string lower(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return text;
    }

    Message parseHeader(const std::string& text)
    {
        Message out;
        auto begin = text.find("\r\n");
        const auto line = text.substr(0, begin);
        const auto a = line.find(' ');
        const auto b = line.find(' ', a + 1);
        out.first = line.substr(0, a);
        out.second = a == std::string::npos ? std::string() : line.substr(a + 1, b == std::string::npos ? b : b - a - 1);
        while (begin != std::string::npos && begin + 2 < text.size()) {
            const auto end = text.find("\r\n", begin + 2);
            const auto field = text.substr(begin + 2, end == std::string::npos ? end : end - begin - 2);
            const auto colon = field.find(':');
            if (colon != std::string::npos) {
                const auto value = field.find_first_not_of(' ', colon + 1);
                out.headers[lower(field.substr(0, colon))] = value == std::string::npos ? std::string() : field.substr(value);
            }
            begin = end;
        }
        return out;
    }

}

std::string Message::header(const std::string& name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

Connection::~Connection()
{
    ::close(m_fd);
}

void Connection::setReadTimeout(int ms) const
{
    const timeval limit { ms / 1000, (ms % 1000) * 1000 };
    ::setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

bool Connection::write(const std::string& bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

bool Connection::readMore()
{
    char piece[65536];
    const auto n = ::recv(m_fd, piece, sizeof(piece), 0);
    m_hasTimedOut = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (n <= 0)
        return false;
    m_buffer.append(piece, static_cast<std::size_t>(n));
    return true;
}

bool Connection::readChunks(std::string& body)
{
    while (true) {
        auto end = m_buffer.find("\r\n");
        while (end == std::string::npos) {
            if (!readMore())
                return false;
            end = m_buffer.find("\r\n");
        }
        const auto size = std::strtoul(m_buffer.c_str(), nullptr, 16);
        while (m_buffer.size() < end + 2 + size + 2) {
            if (!readMore())
                return false;
        }
        body.append(m_buffer, end + 2, size);
        m_buffer.erase(0, end + 2 + size + 2);
        if (size == 0)
            return true;
    }
}

std::optional<Message> Connection::read()
{
    auto end = m_buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!readMore())
            return std::nullopt;
        end = m_buffer.find("\r\n\r\n");
    }
    auto out = parseHeader(m_buffer.substr(0, end));
    m_buffer.erase(0, end + 4);
    if (lower(out.header("transfer-encoding")) == "chunked") {
        if (!readChunks(out.body))
            return std::nullopt;
        return out;
    }
    const auto size = std::strtoul(out.header("content-length").c_str(), nullptr, 10);
    while (m_buffer.size() < size) {
        if (!readMore())
            return std::nullopt;
    }
    out.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return out;
}

int listenOn(const std::string& ip, int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = endpoint(ip, port);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 && ::listen(fd, 512) == 0)
        return fd;
    ::close(fd);
    return -1;
}

int portOf(int fd)
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

int freePort(const std::string& ip)
{
    const int fd = listenOn(ip, 0);
    const int port = portOf(fd);
    ::close(fd);
    return port;
}

int connectTo(const std::string& ip, int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto address = endpoint(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0)
        return fd;
    ::close(fd);
    return -1;
}

std::string responseText(int status, const std::string& body, const std::string& moreHeaders)
{
    return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + moreHeaders + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}

#pragma once

#include "Http.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

// The path of one machine to the store: a proxy that can be cut. While it is cut, open connections are reset and new ones hang.
class StoreLink {
public:
    StoreLink(const std::string& ip, const std::string& storeIp, int storePort)
        : m_ip(ip)
        , m_storeIp(storeIp)
        , m_storePort(storePort)
        , m_fd(listenOn(ip, 0))
        , m_port(portOf(m_fd))
    {
        std::thread([this] { acceptLoop(); }).detach();
    }

    int port() const { return m_port; }

    void cut()
    {
        m_isCut = true;
        // With a full queue of connections the kernel drops the opening packets, so that connects hang as behind a partition.
        ::listen(m_fd, 0);
        {
            const std::lock_guard lock(m_mutex);
            for (const int fd : m_open) {
                const linger off { 1, 0 };
                ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &off, sizeof(off));
                ::shutdown(fd, SHUT_RDWR);
            }
        }
        while (m_isAccepting)
            std::this_thread::yield();
        m_filler = connectTo(m_ip, m_port);
    }

    void heal()
    {
        ::close(m_filler);
        ::listen(m_fd, 128);
        m_isCut = false;
    }

private:
    void acceptLoop()
    {
        while (true) {
            pollfd entry { m_fd, POLLIN, 0 };
            const bool isReadable = !m_isCut && ::poll(&entry, 1, 20) > 0;
            m_isAccepting = isReadable && !m_isCut;
            if (!m_isAccepting) {
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
                continue;
            }
            const int from = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            m_isAccepting = false;
            const int to = from < 0 ? -1 : connectTo(m_storeIp, m_storePort);
            if (to < 0)
                continue;
            {
                const std::lock_guard lock(m_mutex);
                m_open.push_back(from);
                m_open.push_back(to);
            }
            std::thread([this, from, to] {
                std::thread back([from, to] { copy(to, from); });
                copy(from, to);
                back.join();
                const std::lock_guard lock(m_mutex);
                std::erase(m_open, from);
                std::erase(m_open, to);
                ::close(from);
                ::close(to);
            }).detach();
        }
    }

    static void copy(int from, int to)
    {
        char piece[65536];
        while (true) {
            const auto n = ::recv(from, piece, sizeof(piece), 0);
            if (n <= 0 || ::send(to, piece, static_cast<std::size_t>(n), MSG_NOSIGNAL) != n)
                break;
        }
        ::shutdown(from, SHUT_RDWR);
        ::shutdown(to, SHUT_RDWR);
    }

    std::string m_ip;
    std::string m_storeIp;
    int m_storePort;
    int m_fd;
    int m_port;
    int m_filler = -1;
    std::atomic<bool> m_isCut { false };
    std::atomic<bool> m_isAccepting { false };
    std::mutex m_mutex;
    std::vector<int> m_open;
};

}

#pragma once

#include "chiveshelf/core/Address.h"
#include "chiveshelf/core/Error.h"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <random>
#include <set>

namespace fakes {

// Faults of one link, set over the control port.
struct LinkFaults {
    std::chrono::milliseconds delay { 0 };
    // Percentage of datagrams and of TCP reads whose data is discarded.
    int dropPercent = 0;
    // Direction whose bytes are discarded: "", "to_target", "to_caller" or "both".
    std::string cut;
    // Handling of TCP connections: "accept", "refuse" (the listener is closed) or "reset" (accepted, then reset).
    std::string connections = "accept";
    // While true, data and new connections wait: they are neither forwarded nor discarded.
    bool isFrozen = false;
};

// Forwards TCP connections and datagrams from a listening address to a target and injects faults.
class FaultLink : public std::enable_shared_from_this<FaultLink> {
public:
    FaultLink(boost::asio::io_context&, chiveshelf::Address listen, chiveshelf::Address target);
    FaultLink(const FaultLink&) = delete;
    FaultLink& operator=(const FaultLink&) = delete;

    chiveshelf::Result<void> start();

    // Sets the faults that the JSON object contains: delay_ms, drop_percent, cut, connections, frozen. `"silent": true` stops all
    // forwarding on the connections that are open at this time without closing them; later connections work.
    chiveshelf::Result<void> apply(const nlohmann::json&);

    nlohmann::json state() const;

private:
    struct Session;
    struct DatagramSession;

    chiveshelf::Result<void> listen();
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> forward(std::shared_ptr<Session>);
    boost::asio::awaitable<void> forwardBytes(std::shared_ptr<Session>, bool isToTarget);
    boost::asio::awaitable<void> receiveLoop();
    boost::asio::awaitable<void> returnLoop(std::shared_ptr<DatagramSession>);
    boost::asio::awaitable<void> sendDatagram(std::shared_ptr<boost::asio::ip::udp::socket>, boost::asio::ip::udp::endpoint, std::string);
    boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds);
    boost::asio::awaitable<void> waitWhileFrozen();
    bool isDropped(bool isToTarget);
    void resetAllSessions();

    boost::asio::io_context& m_context;
    chiveshelf::Address m_listen;
    chiveshelf::Address m_target;
    LinkFaults m_faults;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<boost::asio::ip::udp::socket> m_datagramSocket;
    std::set<std::shared_ptr<Session>> m_sessions;
    std::map<boost::asio::ip::udp::endpoint, std::shared_ptr<DatagramSession>> m_datagramSessions;
    std::mt19937 m_random { 1 };
    std::uint64_t m_acceptedCount = 0;
};

}

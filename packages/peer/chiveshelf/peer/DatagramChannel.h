#pragma once

#include "chiveshelf/core/Address.h"
#include "chiveshelf/peer/Codec.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <cstdint>
#include <functional>
#include <map>

namespace chiveshelf::peer {

// Datagram types. The numbers are part of the wire format and are never reused.
enum class DatagramType : std::uint8_t {
    Gossip = 1,
    TablesAnnouncement = 2,
    QuarantineNotice = 3,
    LoadNotice = 4,
    CrashNotice = 5,
    RolloutNotice = 6,
    CacheNotice = 7,
    PartsNotice = 8,
    PlacementNotice = 9,
    LeavingNotice = 10,
    StoreNotice = 11,
    LimitNotice = 12,
    AnswersNotice = 13,
    TryNotice = 14,
    OriginNotice = 15,
    OriginQuery = 16,
    OriginAnswer = 17,
    CapacityNotice = 18,
    SuspicionNotice = 19,
};

// Message that is sent as a single datagram, without a reply.
template <typename T>
concept Datagram = requires
{
    {
        T::datagramType
        } -> std::convertible_to<DatagramType>;
};

// Sends and receives typed datagrams on the peer address. Register a handler per type with handle(), then call start().
// Delivery is not guaranteed: senders repeat messages that must arrive.
class DatagramChannel {
public:
    // Longest encoded message. With its header of two bytes it fits into one Ethernet frame with IPv6 headers; larger datagrams would be
    // fragmented, and the loss of one fragment would lose the datagram.
    static constexpr std::size_t maxMessageBytes = 1'398;

    explicit DatagramChannel(boost::asio::io_context&);
    DatagramChannel(const DatagramChannel&) = delete;
    DatagramChannel& operator=(const DatagramChannel&) = delete;

    // Registers the handler of a message type. It is called with the sender's address and must not block.
    template <Datagram Message>
    void handle(std::function<void(const Address&, Message)> handler)
    {
        m_handlers[Message::datagramType] = [handler = std::move(handler)](const Address& from, const std::string& bytes) {
            auto message = decode<Message>(bytes);
            if (message)
                handler(from, std::move(*message));
        };
    }

    // Binds the address and starts to receive. Fails with Unavailable if the address can't be bound.
    Result<void> start(const Address&);
    void stop();

    // Sends a message. A message that exceeds the maximum datagram size is dropped and logged.
    template <Datagram Message>
    void send(const Address& to, const Message& message)
    {
        sendBytes(to, Message::datagramType, encode(message));
    }

    // Sends a message to several receivers, given as pairs of name and address. It is encoded only once.
    template <Datagram Message, typename Addresses>
    void sendToAll(const Addresses& receivers, const Message& message)
    {
        const auto payload = encode(message);
        for (const auto& [name, address] : receivers)
            sendBytes(address, Message::datagramType, payload);
    }

    std::uint64_t sentBytes() const { return m_sentBytes; }
    std::uint64_t receivedBytes() const { return m_receivedBytes; }

private:
    boost::asio::awaitable<void> receiveLoop();
    void sendBytes(const Address& to, DatagramType, const std::string& payload);

    boost::asio::io_context& m_context;
    boost::asio::ip::udp::socket m_socket;
    std::map<DatagramType, std::function<void(const Address&, const std::string&)>> m_handlers;
    std::uint64_t m_sentBytes = 0;
    std::uint64_t m_receivedBytes = 0;
};

}

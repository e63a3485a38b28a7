#pragma once

#include "chiveshelf/membership/Member.h"
#include "chiveshelf/peer/DatagramChannel.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chiveshelf {

// The state of a member as reported by another host. String lengths are encoded in one byte to keep datagrams small, since each
// one carries several updates.
struct MemberUpdate {
    std::string name;
    std::string dataCentre;
    std::string ip;
    std::uint16_t port = 0;
    std::uint8_t state = 0;
    std::uint64_t incarnation = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        for (auto* text : { &name, &dataCentre, &ip }) {
            auto length = static_cast<std::uint8_t>(text->size());
            archive(length);
            text->resize(length);
            archive(cereal::binary_data(text->data(), length));
        }
        archive(port, state, incarnation);
    }
};

enum class GossipKind : std::uint8_t {
    // Asks the receiver, named in `subject`, for an Ack.
    Ping = 1,
    // Reports that `subject` has answered a Ping.
    Ack = 2,
    // Asks the receiver to ping the member in `updates[0]` and to forward its Ack.
    PingRequest = 3,
    // A Ping that also requests all members of the receiver's data centre.
    Join = 4,
    // Carries updates only.
    Notice = 5,
};

// The datagram format of the failure detector, used for all kinds.
struct Gossip {
    static constexpr auto datagramType = peer::DatagramType::Gossip;

    std::uint8_t kind = 0;
    std::uint32_t sequence = 0;
    std::string subject;
    MemberUpdate sender;
    // True if the sender has run for longer than a returned host is barred from ownership.
    bool isEstablished = false;
    // Revision of the tables that the sender currently uses.
    std::uint64_t tablesRevision = 0;
    std::vector<MemberUpdate> updates;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(kind, sequence, subject, sender, isEstablished, tablesRevision, updates);
    }
};

}

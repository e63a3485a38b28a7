#pragma once

#include "chiveshelf/membership/Member.h"
#include "chiveshelf/peer/DatagramChannel.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chiveshelf {

// What a host reports about a member. Strings take one byte for their length, since each period carries several of these.
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
    // Tells that `subject` has answered.
    Ack = 2,
    // Asks the receiver to ping the member in `updates[0]` and to pass its Ack on.
    PingRequest = 3,
    // A Ping that also asks for all members of the receiver's data centre.
    Join = 4,
    // Carries updates only.
    Notice = 5,
};

// The one datagram of the failure detector.
struct Gossip {
    static constexpr auto datagramType = peer::DatagramType::Gossip;

    std::uint8_t kind = 0;
    std::uint32_t sequence = 0;
    std::string subject;
    MemberUpdate sender;
    // The sender has run for longer than a returned host is barred from owning roles.
    bool isEstablished = false;
    // Revision of the tables that the sender has in force.
    std::uint64_t tablesRevision = 0;
    std::vector<MemberUpdate> updates;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(kind, sequence, subject, sender, isEstablished, tablesRevision, updates);
    }
};

}

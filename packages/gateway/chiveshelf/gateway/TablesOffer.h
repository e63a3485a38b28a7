#pragma once

#include "chiveshelf/gateway/HostMessages.h"
#include "chiveshelf/gateway/TablesHistory.h"
#include "chiveshelf/gateway/TransferSlots.h"

#include <deque>
#include <functional>
#include <memory>

namespace chiveshelf {

// Answers the requests of other hosts for updates of the routing tables. Bounds how many hosts are served at once and the share of
// this host's link that they use. Free of I/O.
class TablesOffer {
public:
    // Longest piece, so that no answer waits for long behind one: 26 ms at 10 Mbit/s.
    static constexpr std::size_t pieceBytes = 32 * 1024;
    // Hosts that would wait longer than this for their piece are told to ask again, well before they give up.
    static constexpr std::chrono::milliseconds maxBacklog { 300 };
    // Encoded updates that are kept.
    static constexpr std::size_t maxUpdates = 4;
    // Bounds of the time after which a host that found no slot asks again.
    static constexpr std::chrono::milliseconds minRetry { 20 };
    static constexpr std::chrono::milliseconds maxRetry { 250 };
    // Time in which a host that has got all pieces has applied them, usually.
    static constexpr std::chrono::milliseconds applyTime { 60 };
    // Hosts that are named as having the version, in one answer.
    static constexpr std::size_t maxHolders = 4;

    // An answer, and the delay until it may be sent.
    struct Answer {
        TablesPiece piece;
        std::chrono::milliseconds delay { 0 };
    };

    // Pieces served and refused since the start.
    struct Counts {
        std::uint64_t pieces = 0;
        std::uint64_t bytes = 0;
        std::uint64_t busy = 0;
    };

    // `random` returns numbers in [0, 1).
    TablesOffer(double linkMbps, std::function<double()> random);

    Answer answer(const PullTablesPiece&, const TablesHistory&, TimePoint now);

    const Counts& counts() const { return m_counts; }

private:
    // The encoded update between two versions.
    struct Encoded {
        std::uint64_t baseVersion = 0;
        std::uint64_t version = 0;
        std::uint64_t checksum = 0;
        std::string bytes;
    };

    // A host that has got all pieces of a version.
    struct Holder {
        std::string ip;
        std::uint64_t version = 0;
    };

    // Returns the update between two known versions.
    const Encoded& encoded(std::uint64_t baseVersion, std::uint64_t version, const TablesHistory&);
    Answer busy(const PullTablesPiece&, std::uint64_t version, TimePoint now);

    TransferPace m_pace;
    TransferSlots m_slots;
    std::function<double()> m_random;
    std::deque<Encoded> m_updates;
    // The latest ones last.
    std::deque<Holder> m_holders;
    Counts m_counts;
};

}

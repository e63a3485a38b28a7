#pragma once

#include "chiveshelf/core/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace chiveshelf {

// Paces pieces of a transfer over this host's link so that they use a share of it, and leave the rest to answers. Free of I/O.
class TransferPace {
public:
    // Share of the link for transfers between hosts.
    static constexpr double linkShare = 0.5;

    explicit TransferPace(double linkMbps);

    // Reserves the time that `bytes` take, and returns the delay until their turn.
    std::chrono::milliseconds reserve(std::size_t bytes, TimePoint now);

    // Returns the delay until the turn of bytes that would be reserved now.
    std::chrono::milliseconds backlog(TimePoint now) const;

    // Returns the time that `bytes` take.
    std::chrono::microseconds durationOf(std::size_t bytes) const;

private:
    double m_bytesPerUs;
    TimePoint m_freeAt {};
};

// Bounds the number of hosts that are served at once. Slots of hosts that ask for nothing more expire. Free of I/O.
class TransferSlots {
public:
    // Link speed per slot. A host with a slow link of this speed can't take more from one with a fast link.
    static constexpr double mbpsPerSlot = 10;
    static constexpr std::size_t minSlots = 2;
    static constexpr std::size_t maxSlots = 24;
    // Longer than a host takes between two pieces on a slow link, with the delay of a busy loop.
    static constexpr std::chrono::milliseconds lifetime { 800 };

    explicit TransferSlots(double linkMbps);

    // Takes or keeps the slot of a host. Returns false if all slots are taken.
    bool admit(const std::string& host, TimePoint now);

    // Frees the slot of a host that has got everything.
    void release(const std::string& host) { m_expiries.erase(host); }

    std::size_t capacity() const { return m_capacity; }

private:
    std::size_t m_capacity;
    std::map<std::string, TimePoint> m_expiries;
};

}

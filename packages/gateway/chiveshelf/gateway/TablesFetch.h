#pragma once

#include "chiveshelf/core/Time.h"
#include "chiveshelf/gateway/HostMessages.h"

#include <functional>
#include <map>
#include <optional>
#include <variant>

namespace chiveshelf {

// Decides from which host this one fetches an update of the routing tables, piece by piece, and when it reads the text of the tables
// from the key-value store instead. Free of I/O.
//
// All hosts make the same bytes of an update between the same two versions, so a fetch that a host doesn't continue goes on at
// another one. Hosts that don't know this host's version are passed over while others may; whole tables are fetched if none does.
class TablesFetch {
public:
    // A fetch without progress for this time ends at the store. Longer than a host of a data centre waits for its turn.
    static constexpr std::chrono::milliseconds maxPause { 1'500 };
    // A fetch that takes longer than this from the first news ends at the store, too.
    static constexpr std::chrono::milliseconds maxDuration { 3'000 };
    // Time after which a host that gave no answer, or a wrong one, is asked again.
    static constexpr std::chrono::milliseconds failureDelay { 500 };
    // Delay between two reads of the store that both left this host behind; doubled each time up to the maximum.
    static constexpr std::chrono::milliseconds minStoreDelay { 1'000 };
    static constexpr std::chrono::milliseconds maxStoreDelay { 8'000 };
    // Limit for an update. The store's limit for a value is 1 MB, and an update is shorter than the text.
    static constexpr std::uint64_t maxBytes = 4 * 1024 * 1024;
    // Limit for the hosts that are remembered as having newer tables.
    static constexpr std::size_t maxSources = 64;

    // There is nothing to fetch.
    struct Idle {
    };
    struct Wait {
        TimePoint until;
    };
    // The next piece is to be requested from the host with this IP address.
    struct Ask {
        std::string ip;
        PullTablesPiece request;
    };
    // The text of the tables is to be read from the store.
    struct ReadStore {
    };
    using Step = std::variant<Idle, Wait, Ask, ReadStore>;

    // A complete update.
    struct Update {
        std::uint64_t baseVersion = 0;
        std::string bytes;
    };

    // `random` returns numbers in [0, 1).
    explicit TablesFetch(std::function<double()> random)
        : m_random(std::move(random))
    {
    }

    // Records that a host has tables of a version newer than `current`, this host's. A fetch that this begins starts at `startAt`.
    void onNews(const std::string& ip, std::uint64_t version, std::uint64_t current, TimePoint startAt, TimePoint now);

    // Returns what to do next, for a host that has the tables `current`.
    Step next(std::uint64_t current, TimePoint now);

    // Handles the answer of a host. Returns the update if it is complete.
    std::optional<Update> onPiece(const std::string& ip, const TablesPiece&, TimePoint now);
    // Handles a request that got no answer.
    void onFailure(const std::string& ip, TimePoint now);
    // Handles an update that could not be applied.
    void onRejected();
    // Handles the end of a read of the store, whether or not it gave newer tables.
    void onStoreRead(TimePoint now);

    // Returns the time since the first news of the version that is being fetched, 0 if there is none.
    std::chrono::milliseconds sinceNews(TimePoint now) const;

private:
    // A host that has newer tables.
    struct Source {
        std::uint64_t version = 0;
        TimePoint notBefore {};
        // False if it doesn't know this host's version.
        bool hasBase = true;
    };

    // The part of an update that has arrived.
    struct Partial {
        std::uint64_t baseVersion = 0;
        std::uint64_t version = 0;
        std::uint64_t totalBytes = 0;
        std::uint64_t checksum = 0;
        std::string bytes;

        bool isOf(const TablesPiece& piece) const
        {
            return baseVersion == piece.baseVersion && version == piece.version && totalBytes == piece.totalBytes && checksum == piece.checksum;
        }
    };

    void addSource(const std::string& ip, std::uint64_t version);
    // Forgets what newer tables of this host have made needless.
    void dropOld(std::uint64_t current, TimePoint now);
    // Returns the source to ask now, or the end. Prefers the last one, then newer versions.
    std::map<std::string, Source>::const_iterator chooseSource(TimePoint now) const;

    std::function<double()> m_random;
    std::map<std::string, Source> m_sources;
    std::string m_lastIp;
    std::optional<Partial> m_partial;
    std::uint64_t m_baseVersion = 0;
    bool m_isActive = false;
    bool m_wantsWhole = false;
    // The newest version that is known of, and when this host first learned of it.
    std::uint64_t m_newestVersion = 0;
    TimePoint m_newestNewsAt {};
    TimePoint m_newsAt {};
    TimePoint m_startAt {};
    TimePoint m_progressAt {};
    TimePoint m_storeNotBefore {};
    std::chrono::milliseconds m_storeDelay = minStoreDelay;
};

}

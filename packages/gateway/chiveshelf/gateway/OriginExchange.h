#pragma once

#include "chiveshelf/core/Address.h"
#include "chiveshelf/gateway/HostMessages.h"
#include "chiveshelf/placement/StreamOrigins.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace chiveshelf {

// Shares the origins of streams among the hosts, so that a stream can be resumed at any of them and after the loss of the one that
// began it. Each record has the same few holders for all hosts: in a small fleet all, in a larger one those with the highest
// rendezvous hashes of the stream. Records are also shared while one version serves: a host that stands still or is lost can't send them
// any more when another version joins.
class OriginExchange {
public:
    // How messages reach other hosts.
    struct Port {
        // Returns the other hosts that hold the record of a stream.
        std::function<std::vector<Address>(std::uint64_t stream)> holders;
        std::function<void(const Address&, const OriginNotice&)> sendNotice;
        std::function<void(const Address&, const OriginQuery&)> sendQuery;
        std::function<void(const Address&, const OriginAnswer&)> sendAnswer;
        // Returns whether several software versions of a pool have served lately, as far as this host knows.
        std::function<bool(const std::string& pool)> isMixed;
    };

    OriginExchange(boost::asio::io_context&, StreamOrigins&, Port);

    // Records the origin of a stream and sends it to its holders: soon after, sooner if several versions may serve, and at once if it has
    // become disputed.
    void record(StreamOrigin, bool mayBeMixed, TimePoint now);

    // What the hosts know of a stream.
    struct Finding {
        std::optional<StreamOrigin> record;
        // Whether a host that was asked knows of several software versions of the pool.
        bool isMixed = false;
        std::size_t asked = 0;
        std::size_t answers = 0;

        // Whether more than half of the holders have been heard, this host included. Fewer may share a cut and know no more than this
        // host.
        bool isMajority() const { return 2 * (answers + 1) > asked + 1; }
    };

    // Finds out what the hosts know of a stream. Asks others if this one has no record, and ends when one has it, when all have
    // answered, or after a fixed number of steps of this host: time in which it stands still doesn't count.
    boost::asio::awaitable<Finding> find(std::uint64_t stream, std::string pool);

    void onNotice(const OriginNotice&, TimePoint now);
    void onQuery(const Address& from, const OriginQuery&, TimePoint now);
    void onAnswer(const Address& from, const OriginAnswer&, TimePoint now);

private:
    // A search for the origin of a stream at other hosts.
    struct Search {
        std::set<Address> answered;
        bool isFound = false;
        bool isMixed = false;
    };

    boost::asio::awaitable<void> flush(std::chrono::milliseconds delay);
    boost::asio::awaitable<void> sleep(std::chrono::milliseconds);
    // Queues a record for its holders, to be sent after this delay at the latest.
    void enqueue(const StreamOrigin&, std::chrono::milliseconds delay);

    boost::asio::io_context& m_context;
    StreamOrigins& m_origins;
    Port m_port;
    // Records to be sent, by receiver.
    std::map<Address, std::vector<StreamOrigin>> m_pending;
    std::map<std::uint64_t, std::shared_ptr<Search>> m_searches;
    // Time of the next flush, if one is due.
    std::optional<TimePoint> m_flushAt;
};

}

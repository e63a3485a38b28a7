#pragma once

#include "chiveshelf/http/Server.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

// Fakes of the platform for tests of the gateway: its store, and backend servers that write scripted responses.
namespace fakeplatform {

// The store: items by key with revisions, reads, watches, conditional writes, leases that end only by expireLeases() or by a call, and
// restores from an older copy. All its answers tell its era.
class Store {
public:
    explicit Store(boost::asio::io_context&);

    chiveshelf::Result<void> start(const chiveshelf::Address&);

    void put(const std::string& key, const std::string& value);

    // Replaces the values that hosts write by the result of this function, which gets key and value.
    void setWriteFilter(std::function<std::string(const std::string&, const std::string&)> filter) { m_writeFilter = std::move(filter); }
    void remove(const std::string& key);

    // Ends all leases. Their keys are removed with remove().
    void expireLeases() { m_state.leases.clear(); }

    // What happens to the pending watches when the store is restored.
    enum class Watches {
        // They are aborted.
        Cut,
        // They wait on and are answered by the restored store.
        Kept,
    };

    // Keeps a copy of the present state for restore().
    void takeCopy() { m_copy = m_state; }

    // Goes back to the copy: later items and leases are gone, and revisions and lease numbers are given out again.
    void restore(Watches = Watches::Cut);
    std::uint64_t era() const { return m_era; }

    // Grants a lease to another process, which writes `key` under it.
    std::uint64_t grantLease(const std::string& key);

    bool contains(const std::string& key) const;
    // The value of a key, empty if it doesn't exist.
    std::string valueOf(const std::string& key) const;
    // The lease to which a key is bound, or 0.
    std::uint64_t leaseOf(const std::string& key) const;
    std::uint64_t revision() const { return m_state.revision; }

    // Delays the next answer to a call whose path begins with `path`. It is made up before the delay, also if the store is restored
    // meanwhile.
    void delayNextAnswer(std::string path, std::chrono::milliseconds delay) { m_answerDelay = { std::move(path), delay }; }

    // Aborts the pending watches. Later watches from an earlier revision report no changes, wait until their end and then get
    // status 410, like those of a store that dropped its history.
    void abortWatches();

    std::size_t readCount() const { return m_reads; }
    // Reads of single items.
    std::size_t itemReadCount() const { return m_itemReads; }
    std::size_t watchCount() const { return m_watches; }

    // Responds to the next `times` reads and watches with this body instead of the real one.
    void overrideResponses(std::string body, std::size_t times) { m_overrideBody = { std::move(body), times }; }

    // Delays the responses to calls that end a lease.
    void delayLeaseEnds(std::chrono::milliseconds delay) { m_leaseEndDelay = delay; }
    std::size_t leaseEnds() const { return m_leaseEnds; }

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        bool isRemoved = false;
        std::uint64_t lease = 0;
        std::uint64_t createdAt = 0;
    };

    // All that a restore takes back.
    struct State {
        std::map<std::string, Item> items;
        std::uint64_t revision = 1;
        std::set<std::uint64_t> leases;
        std::uint64_t lastLease = 0;
    };

    boost::asio::awaitable<void> respond(chiveshelf::http::Exchange&, chiveshelf::http::Response);
    chiveshelf::http::Response renewLease(std::uint64_t) const;
    void endLease(std::uint64_t);

    boost::asio::awaitable<void> handle(chiveshelf::http::Exchange&);
    boost::asio::awaitable<chiveshelf::http::Response> answer(chiveshelf::http::Exchange&, const std::string& path);
    boost::asio::awaitable<void> watch(chiveshelf::http::Exchange&, std::uint64_t after, std::chrono::milliseconds wait);
    chiveshelf::http::Response read() const;
    chiveshelf::http::Response readItem(const std::string& key) const;
    chiveshelf::http::Response write(const std::string& body);

    boost::asio::io_context& m_context;
    chiveshelf::http::Server m_server;
    State m_state;
    State m_copy;
    std::uint64_t m_era = 1;
    std::pair<std::string, std::chrono::milliseconds> m_answerDelay;
    std::function<std::string(const std::string&, const std::string&)> m_writeFilter;
    std::uint64_t m_historyStart = 0;
    std::size_t m_reads = 0;
    std::size_t m_itemReads = 0;
    std::size_t m_watches = 0;
    std::size_t m_watchAborts = 0;
    std::pair<std::string, std::size_t> m_overrideBody;
    std::chrono::milliseconds m_leaseEndDelay { 0 };
    std::size_t m_leaseEnds = 0;
};

// The response that a backend server writes to one request, and what it does with the connection afterwards.
struct Script {
    enum class End {
        Keep,
        Close,
        Reset,
        Silence,
        // Writes `continuation` repeatedly until the peer closes the connection.
        Endless,
    };

    std::string bytes;
    End end = End::Keep;
    std::string continuation {};
    // Delay before each `continuation`. With End::Keep it is written once.
    std::chrono::milliseconds pause { 0 };
};

// A backend server that records its requests and writes the scripted responses.
class Runner {
public:
    using Handler = std::function<Script(const chiveshelf::http::Request&)>;

    Runner(boost::asio::io_context&, Handler);

    // Starts the server, or starts it again after crash().
    chiveshelf::Result<void> start(const chiveshelf::Address&);

    // Resets all connections and refuses new ones.
    void crash();

    const std::vector<chiveshelf::http::Request>& requests() const { return m_requests; }
    // Connections that the peer closed while the server was silent or wrote endlessly.
    std::size_t disconnects() const { return m_disconnects; }
    // Bytes written by scripts with End::Endless after their first part.
    std::size_t endlessBytes() const { return m_endlessBytes; }

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<boost::asio::ip::tcp::socket>);
    boost::asio::awaitable<void> serveRequests(boost::asio::ip::tcp::socket&);
    boost::asio::awaitable<void> pauseFor(std::chrono::milliseconds);
    boost::asio::awaitable<void> writeEndlessly(boost::asio::ip::tcp::socket&, const Script&);

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    std::vector<chiveshelf::http::Request> m_requests;
    std::set<std::shared_ptr<boost::asio::ip::tcp::socket>> m_sockets;
    std::size_t m_disconnects = 0;
    std::size_t m_endlessBytes = 0;
};

// Returns a complete response to a request, with the seal header and a Content-Length.
std::string sealedResponse(const chiveshelf::http::Request&, int status, const std::string& body, const std::string& moreHeaders = {});

// Returns the response header of a chunked event stream with the seal header, and one chunk of the body.
std::string sealedStreamHeader(const chiveshelf::http::Request&);
std::string chunk(const std::string& bytes);

}

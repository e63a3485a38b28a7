#pragma once

#include "chiveshelf/http/Server.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

// Stand-ins for the users' platform in tests of the gateway: its store, and backend servers that answer byte by byte as told.
namespace fakeplatform {

// The store: items by key with revisions, reads, watches, conditional writes and leases that never end.
class Store {
public:
    explicit Store(boost::asio::io_context&);

    chiveshelf::Result<void> start(const chiveshelf::Address&);

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    // Breaks off the watches that wait, and lets later ones wait until they end without telling of earlier changes, as a store
    // does that is about to drop its history.
    void abortWatches();

    std::size_t readCount() const { return m_reads; }
    std::size_t watchCount() const { return m_watches; }

    // Answers the next reads and watches with this body instead of their own.
    void answerInstead(std::string body, std::size_t times) { m_otherBody = { std::move(body), times }; }

    // Delays the answers to calls that end a lease.
    void delayLeaseEnds(std::chrono::milliseconds delay) { m_leaseEndDelay = delay; }
    std::size_t leaseEnds() const { return m_leaseEnds; }

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        bool isRemoved = false;
    };

    boost::asio::awaitable<void> handle(chiveshelf::http::Exchange&);
    boost::asio::awaitable<void> watch(chiveshelf::http::Exchange&, std::uint64_t after, std::chrono::milliseconds wait);
    chiveshelf::http::Response read() const;
    chiveshelf::http::Response write(const std::string& body);

    boost::asio::io_context& m_context;
    chiveshelf::http::Server m_server;
    std::map<std::string, Item> m_items;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lostBefore = 0;
    std::size_t m_reads = 0;
    std::size_t m_watches = 0;
    std::size_t m_cuts = 0;
    std::pair<std::string, std::size_t> m_otherBody;
    std::chrono::milliseconds m_leaseEndDelay { 0 };
    std::size_t m_leaseEnds = 0;
};

// What a backend server writes for one request, and whether it then closes the connection, and how.
struct Script {
    enum class End {
        Keep,
        Close,
        Reset,
        Silence,
        // Writes `more` again and again until the peer closes.
        Endless,
    };

    std::string bytes;
    End end = End::Keep;
    std::string more {};
    // Time before `more`: between two of them, or, on a kept connection, before the only one.
    std::chrono::milliseconds pause { 0 };
};

// A backend server. It records the requests and writes what the script says.
class Runner {
public:
    using Handler = std::function<Script(const chiveshelf::http::Request&)>;

    Runner(boost::asio::io_context&, Handler);

    chiveshelf::Result<void> start(const chiveshelf::Address&);

    const std::vector<chiveshelf::http::Request>& requests() const { return m_requests; }
    // Connections on which the peer went away while the server was silent or wrote without end.
    std::size_t departures() const { return m_departures; }
    // Bytes that were written without end.
    std::size_t endlessBytes() const { return m_endlessBytes; }

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket);
    boost::asio::awaitable<void> pauseFor(std::chrono::milliseconds);
    boost::asio::awaitable<void> writeWithoutEnd(boost::asio::ip::tcp::socket&, const Script&);

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    std::vector<chiveshelf::http::Request> m_requests;
    std::size_t m_departures = 0;
    std::size_t m_endlessBytes = 0;
};

// Returns a whole sealed answer to a request, with a length.
std::string sealedResponse(const chiveshelf::http::Request&, int status, const std::string& body, const std::string& moreHeaders = {});

// Returns the head of a sealed chunked stream, and one chunk of it.
std::string sealedStreamHead(const chiveshelf::http::Request&);
std::string chunk(const std::string& bytes);

}

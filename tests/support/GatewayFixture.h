#pragma once

#include "FakePlatform.h"
#include "SlowLink.h"
#include "chiveshelf/gateway/Gateway.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <cstdlib>

namespace fakeplatform {

inline const char* const tables = R"({"version":3,"routes":[
{"name":"book","host":"desk.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":1500,"goalMs":300,"priority":2,"service":"desk","attempts":1},
{"name":"look","host":"desk.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":1500,"goalMs":300,"priority":2,"service":"desk","attempts":2},
{"name":"ask","host":"desk.example","pathPrefix":"/ask/","kind":"stream","resumable":true,"timeoutMs":3000,"goalMs":300,"priority":0,"service":"desk","attempts":2},
{"name":"draft","host":"desk.example","pathPrefix":"/draft/","kind":"stream","timeoutMs":3000,"goalMs":300,"priority":2,"service":"desk","attempts":1},
{"name":"open","host":"desk.example","pathPrefix":"/open/","kind":"idempotent","timeoutMs":1500,"goalMs":300,"priority":2,"service":"desk","attempts":1,"public":true}],
"services":[{"name":"desk","maxConns":50}],"tenants":[{"name":"gallery","apiKeys":["key1"]}]})";

// Returns the tables with another version, in which the route "book" has the path /sell/.
inline std::string sellTables(int version)
{
    auto out = std::string(tables);
    out.replace(out.find("/book/"), 6, "/sell/").replace(out.find(":3"), 2, ":" + std::to_string(version));
    return out;
}

// A response as received by a caller.
struct ReceivedResponse {
    unsigned status = 0;
    std::string body;
    std::string retryAfter;
    // Whether the connection was closed before the response was complete.
    bool isBroken = false;
    // Received bytes after the response, such as a body that a response to HEAD must not have.
    std::size_t surplusBytes = 0;
};

// Runs one or more gateways in this process with a fake store and fake backend servers.
class GatewayFixture : public CppUnit::TestFixture {
public:
    void setUp() override
    {
        // Each test uses its own addresses, so that connections of the previous test can't reach it.
        static int network = 0;
        const char* group = std::getenv("CHIVESHELF_TEST_NETWORK");
        m_network = "127." + std::string(group ? group : "70") + "." + std::to_string(++network);
        m_context = std::make_unique<boost::asio::io_context>(1);
        m_store = std::make_unique<Store>(*m_context);
        CPPUNIT_ASSERT(m_store->start({ m_network + ".1", 7'000 }));
        m_store->put("op/config", tables);
    }

    void tearDown() override
    {
        m_gateway.reset();
        m_hosts.clear();
        m_runners.clear();
        m_storeLinks.clear();
        m_store.reset();
        m_context.reset();
    }

protected:
    void addRunner(Runner::Handler handler, const std::string& moreFields = {})
    {
        const auto i = m_runners.size();
        const chiveshelf::Address address { m_network + ".2", static_cast<std::uint16_t>(8'000 + i) };
        m_runners.push_back(std::make_unique<Runner>(*m_context, std::move(handler)));
        CPPUNIT_ASSERT(m_runners.back()->start(address));
        registerRunner(i, moreFields);
    }

    // Writes the entry of a runner. Fields in `moreFields` replace those of the same name.
    void registerRunner(std::size_t i, const std::string& moreFields)
    {
        const chiveshelf::Address address { m_network + ".2", static_cast<std::uint16_t>(8'000 + i) };
        m_store->put("servers/r" + std::to_string(i),
            R"({"service":"desk","zone":"z","version":"v1","capacity":6,"state":"ready","coldLeftMs":0,"sequence":1,"address":")" + toString(address) + "\"" + moreFields + "}");
    }

    void startGateway(std::chrono::milliseconds orderGap = std::chrono::seconds(3))
    {
        chiveshelf::GatewaySettings settings;
        settings.orderGap = orderGap;
        settings.hostName = "host";
        settings.dataCentre = "z";
        settings.callerAddress = { m_network + ".1", 7'001 };
        settings.adminAddress = { m_network + ".1", 7'002 };
        settings.peerAddress = { m_network + ".1", 7'003 };
        settings.storeAddress = { m_network + ".1", 7'000 };
        settings.retryReserve = m_retryReserve;
        settings.learnsCapacity = m_learnsCapacity;
        m_gateway = std::make_unique<chiveshelf::Gateway>(*m_context, settings);
        CPPUNIT_ASSERT(m_gateway->start());
        runFor(std::chrono::milliseconds(150));
    }

    // Starts a host of a fleet. The first `contacts` hosts are its contacts.
    void startHost(int number, int contacts = 0)
    {
        chiveshelf::GatewaySettings settings;
        settings.hostName = "host-" + std::to_string(number);
        settings.dataCentre = "z";
        settings.callerAddress = { hostIp(number), 7'001 };
        settings.adminAddress = { hostIp(number), 7'002 };
        settings.peerAddress = { hostIp(number), 7'003 };
        settings.storeAddress = m_storeLinks.contains(number) ? storeLinkAddress(number) : chiveshelf::Address { m_network + ".1", 7'000 };
        for (int i = 0; i < contacts; ++i)
            settings.contacts.push_back({ hostIp(i), 7'003 });
        settings.isFirstStart = m_isFirstStart;
        if (number >= m_fastHosts) {
            settings.linkMbps = m_slowLinkMbps;
            settings.cpuShare = 0.12;
        }
        auto& host = m_hosts[number];
        host.context = std::make_unique<boost::asio::io_context>(1);
        host.gateway = std::make_unique<chiveshelf::Gateway>(*host.context, settings);
        CPPUNIT_ASSERT(host.gateway->start());
    }

    // Lets a host reach the store, from its next start on, over a link of its own that can be cut.
    void linkStore(int number)
    {
        auto& link = m_storeLinks[number];
        link = std::make_unique<support::SlowLink>(*m_context, storeLinkBytesPerSecond);
        link->forward(storeLinkAddress(number), { m_network + ".1", 7'000 }, support::SlowLink::Direction::FromHost);
    }

    void setStoreCut(int number, bool isCut) { m_storeLinks.at(number)->setCut(isCut); }

    chiveshelf::Address storeLinkAddress(int number) const { return { hostIp(number), 7'005 }; }

    // Ends a host without notice: its connections are reset and its tasks are gone.
    void killHost(int number)
    {
        m_hosts.erase(number);
    }

    // Stops a host or lets it go on. What arrives meanwhile waits in its sockets.
    void setFrozen(int number, bool isFrozen)
    {
        m_hosts.at(number).isFrozen = isFrozen;
    }

    void startHosts(int n)
    {
        for (int i = 0; i < n; ++i)
            startHost(i);
    }

    ReceivedResponse fetchFrom(int host, const std::string& bytes)
    {
        return fetch(bytes, 7'001, hostIp(host));
    }

    std::string hostIp(int number) const { return m_network + "." + std::to_string(10 + number); }

    static std::string post(const std::string& path, const std::string& key = "key1", const std::string& moreHeaders = {})
    {
        return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: id1\r\nX-Deadline-Ms: 3000\r\n" + (key.empty() ? "" : "Api-Key: " + key + "\r\n")
            + moreHeaders + "Content-Length: 4\r\n\r\nbody";
    }

    std::size_t requestsTo(const std::string& path) const
    {
        std::size_t n = 0;
        for (const auto& runner : m_runners)
            n += static_cast<std::size_t>(std::count_if(runner->requests().begin(), runner->requests().end(), [&](const auto& request) { return request.target() == path; }));
        return n;
    }

    std::size_t disconnects() const
    {
        std::size_t n = 0;
        for (const auto& runner : m_runners)
            n += runner->disconnects();
        return n;
    }

    std::size_t requestCount() const
    {
        std::size_t n = 0;
        for (const auto& runner : m_runners)
            n += runner->requests().size();
        return n;
    }

    void runFor(std::chrono::milliseconds duration)
    {
        if (m_hosts.empty()) {
            m_context->run_for(duration);
            return;
        }
        for (const auto end = std::chrono::steady_clock::now() + duration; std::chrono::steady_clock::now() < end;) {
            m_context->run_for(std::chrono::milliseconds(1));
            for (auto& [number, host] : m_hosts) {
                if (!host.isFrozen)
                    host.context->poll();
            }
        }
    }

    template <typename Condition>
    void runUntil(Condition condition, std::chrono::milliseconds limit = std::chrono::seconds(5))
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end && !m_context->stopped())
            runFor(std::chrono::milliseconds(m_hosts.empty() ? 5 : 1));
    }

    boost::asio::awaitable<void> sendOnly(std::shared_ptr<boost::asio::ip::tcp::socket> socket, std::string bytes)
    {
        boost::system::error_code ec;
        const auto endpoint = chiveshelf::http::toEndpoint({ m_network + ".1", 7'001 });
        co_await socket->async_connect(endpoint, boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        co_await boost::asio::async_write(*socket, boost::asio::buffer(bytes), boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }

    boost::asio::awaitable<void> fetchInto(std::string bytes, chiveshelf::Address address, std::shared_ptr<std::optional<ReceivedResponse>> out)
    {
        boost::asio::ip::tcp::socket socket(*m_context);
        boost::system::error_code ec;
        const auto endpoint = chiveshelf::http::toEndpoint(address);
        co_await socket.async_connect(endpoint, boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        co_await boost::asio::async_write(socket, boost::asio::buffer(bytes), boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        boost::beast::flat_buffer buffer;
        boost::beast::http::response_parser<boost::beast::http::string_body> parser;
        parser.skip(bytes.starts_with("HEAD "));
        co_await boost::beast::http::async_read(socket, buffer, parser, boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        ReceivedResponse response;
        response.isBroken = static_cast<bool>(ec);
        response.status = parser.get().result_int();
        response.body = parser.get().body();
        response.retryAfter = std::string(parser.get()["Retry-After"]);
        response.surplusBytes = buffer.size();
        *out = std::move(response);
    }

    // Sends bytes to a gateway, by default to the one of this fixture, and returns the response.
    ReceivedResponse fetch(std::string bytes, std::uint16_t port = 7'001, const std::string& ip = {})
    {
        const chiveshelf::Address address { ip.empty() ? m_network + ".1" : ip, port };
        const auto out = std::make_shared<std::optional<ReceivedResponse>>();
        boost::asio::co_spawn(*m_context, fetchInto(std::move(bytes), address, out), boost::asio::detached);
        runUntil([&] { return out->has_value(); });
        CPPUNIT_ASSERT(out->has_value());
        return **out;
    }

    static constexpr double storeLinkBytesPerSecond = 100e6;

    // GatewaySettings::retryReserve of the gateway.
    double m_retryReserve = 50;
    // GatewaySettings::learnsCapacity of the gateway.
    bool m_learnsCapacity = false;
    // Number of hosts of a fleet with the usual link and processor; the others have a slow processor and this link.
    int m_fastHosts = 1'000;
    double m_slowLinkMbps = 10;
    // GatewaySettings::isFirstStart of the hosts of a fleet.
    bool m_isFirstStart = false;
    std::string m_network;
    std::unique_ptr<boost::asio::io_context> m_context;
    std::unique_ptr<Store> m_store;
    std::map<int, std::unique_ptr<support::SlowLink>> m_storeLinks;
    std::vector<std::unique_ptr<Runner>> m_runners;
    std::unique_ptr<chiveshelf::Gateway> m_gateway;
    // A host of a fleet, with a context of its own so that it can be killed. Members are destroyed in reverse order.
    struct FleetHost {
        std::unique_ptr<boost::asio::io_context> context;
        std::unique_ptr<chiveshelf::Gateway> gateway;
        // A frozen host keeps its sockets but does nothing until it is thawed.
        bool isFrozen = false;
    };
    std::map<int, FleetHost> m_hosts;
};

}

#include "GatewayFleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <cppunit/TestAssert.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>

namespace support {

namespace asio = boost::asio;
using namespace chiveshelf;

namespace {

    constexpr int storeGroup = 0;
    constexpr int hostGroup = 1;
    constexpr int relayGroup = 2;
    constexpr int runnerGroup = 3;
    // Where callers reach a host over its link, and where a host reaches the store over its link.
    constexpr int callerLinkGroup = 4;
    constexpr int storeLinkGroup = 5;
    constexpr int storePort = 7'000;
    constexpr int callerPort = 7'001;
    constexpr int adminPort = 7'002;
    constexpr int peerPort = 7'003;
    constexpr int runnerPort = 8'000;
    const std::string registrationPrefix = "hosts/";

    // Returns the number of the host at an address of the host group.
    int hostNumber(const std::string& ip)
    {
        return std::stoi(ip.substr(ip.rfind('.') + 1));
    }

}

GatewayFleet::GatewayFleet(const std::string& tables, std::uint64_t seed)
    : m_random(seed)
{
    const char* network = std::getenv("CHIVESHELF_TEST_NETWORK");
    m_network = "127." + std::string(network ? network : "36") + ".";
    m_logFolder = std::filesystem::temp_directory_path() / ("chiveshelf-gateways-" + std::to_string(::getpid()));
    std::filesystem::create_directories(m_logFolder);
    CPPUNIT_ASSERT(m_store.start(address(storeGroup, 1, storePort)));
    m_store.put("op/config", tables);
    // Other hosts reach a host only by its relay.
    m_store.setWriteFilter([this](const std::string& key, const std::string& value) {
        return key.starts_with(registrationPrefix) ? toString(address(relayGroup, hostNumber(value.substr(0, value.find(':'))), peerPort)) : value;
    });
}

GatewayFleet::~GatewayFleet()
{
    m_quota.reset();
    m_hosts.clear();
    std::error_code ec;
    std::filesystem::remove_all(m_logFolder, ec);
}

std::string GatewayFleet::hostName(int number)
{
    return "host-" + std::to_string(number);
}

Address GatewayFleet::address(int group, int number, int port) const
{
    return { m_network + std::to_string(group) + "." + std::to_string(number), static_cast<std::uint16_t>(port) };
}

std::size_t GatewayFleet::addRunner(const std::string& id, const std::string& pool, fakeplatform::Runner::Handler handler)
{
    const auto runnerAddress = address(runnerGroup, static_cast<int>(m_runners.size()) + 1, runnerPort);
    m_runners.push_back({ id, pool, runnerAddress, std::make_unique<fakeplatform::Runner>(m_context, std::move(handler)) });
    CPPUNIT_ASSERT(m_runners.back().runner->start(runnerAddress));
    registerRunner(m_runners.back());
    return m_runners.size() - 1;
}

void GatewayFleet::registerRunner(const RunnerSlot& slot)
{
    const nlohmann::json record { { "service", slot.pool }, { "zone", "z" }, { "version", "v1" }, { "capacity", 6 }, { "state", "ready" }, { "coldLeftMs", 0 },
        { "sequence", 1 }, { "address", toString(slot.address) }, { "models", { { { "name", "model" }, { "version", 1 } } } } };
    m_store.put("servers/" + slot.id, record.dump());
}

void GatewayFleet::crashRunner(std::size_t index, std::chrono::milliseconds downTime)
{
    auto& slot = m_runners.at(index);
    if (slot.isDown)
        return;
    slot.isDown = true;
    slot.runner->crash();
    asio::co_spawn(m_context, restartRunner(index, downTime), asio::detached);
}

asio::awaitable<void> GatewayFleet::restartRunner(std::size_t index, std::chrono::milliseconds downTime)
{
    asio::steady_timer timer(m_context, downTime);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    auto& slot = m_runners.at(index);
    m_store.remove("servers/" + slot.id);
    slot.id = slot.id.substr(0, slot.id.find('.')) + "." + std::to_string(++slot.crashes);
    CPPUNIT_ASSERT(slot.runner->start(slot.address));
    registerRunner(slot);
    slot.isDown = false;
}

void GatewayFleet::startHost(int number)
{
    start(number, { "--store=" + toString(storeAddress(number)) });
}

void GatewayFleet::startHosts(int n)
{
    for (int i = 1; i <= n; ++i)
        startHost(i);
    for (int i = 1; i <= n; ++i)
        awaitReady(i);
    runFor(std::chrono::milliseconds(500));
}

void GatewayFleet::awaitReady(int number)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!isReady(number) && std::chrono::steady_clock::now() < end) { }
}

void GatewayFleet::startHostWithoutStore(int number)
{
    // Nothing listens at this address.
    start(number, { "--store=" + toString(address(storeGroup, 2, storePort)), "--contacts=" + toString(peerAddress(1)) });
}

bool GatewayFleet::hasLink(int number) const
{
    const auto it = m_hosts.find(number);
    return it != m_hosts.end() && it->second.link;
}

Address GatewayFleet::storeAddress(int number) const
{
    return hasLink(number) ? address(storeLinkGroup, number, storePort) : address(storeGroup, 1, storePort);
}

Address GatewayFleet::callerAddress(int number) const
{
    return address(hasLink(number) ? callerLinkGroup : hostGroup, number, callerPort);
}

void GatewayFleet::limitLink(int number, double bytesPerSecond)
{
    auto& link = m_hosts[number].link;
    link = std::make_unique<SlowLink>(m_context, bytesPerSecond);
    link->forward(storeAddress(number), address(storeGroup, 1, storePort), SlowLink::Direction::FromHost);
    link->forward(callerAddress(number), address(hostGroup, number, callerPort), SlowLink::Direction::ToHost);
    link->forward(address(relayGroup, number, peerPort), peerAddress(number), SlowLink::Direction::ToHost);
}

void GatewayFleet::limitProcessors(const std::vector<int>& hosts, double share)
{
    m_quota = std::make_unique<ProcessorQuota>(share);
    for (const auto number : hosts)
        m_quota->add(process(number).id());
}

void GatewayFleet::start(int number, const std::vector<std::string>& moreArguments)
{
    auto& host = m_hosts[number];
    if (!host.relay) {
        const auto relayAddress = address(relayGroup, number, peerPort);
        const asio::ip::udp::endpoint endpoint(asio::ip::make_address(relayAddress.ip), relayAddress.port);
        host.relay = std::make_shared<asio::ip::udp::socket>(m_context, endpoint);
        asio::co_spawn(m_context, relay(number, host.relay), asio::detached);
    }
    std::vector<std::string> arguments { "gateway", "--host-name=" + hostName(number), "--data-centre=z", "--listen=" + toString(address(hostGroup, number, callerPort)),
        "--admin-listen=" + toString(address(hostGroup, number, adminPort)), "--peer-listen=" + toString(peerAddress(number)) };
    arguments.insert(arguments.end(), moreArguments.begin(), moreArguments.end());
    arguments.insert(arguments.end(), m_hostArguments.begin(), m_hostArguments.end());
    host.process = std::make_unique<ChildProcess>("chiveshelfd", arguments, m_logFolder + "/" + hostName(number) + ".log");
}

bool GatewayFleet::isReady(int number)
{
    const auto status = std::make_shared<unsigned>(0);
    const auto handler = [status](const CallerResponse& response) { *status = response.status; };
    asio::co_spawn(m_context, exchange(address(hostGroup, number, adminPort), "GET /ready HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n", handler), asio::detached);
    runFor(std::chrono::milliseconds(50));
    return *status == 200;
}

void GatewayFleet::stopHost(int number)
{
    process(number).signal(SIGTERM);
    m_store.remove(registrationPrefix + hostName(number));
}

void GatewayFleet::expireRegistrations()
{
    m_store.expireLeases();
    for (const auto& [number, host] : m_hosts)
        m_store.remove(registrationPrefix + hostName(number));
}

void GatewayFleet::setCutOff(int number, bool isCutOff)
{
    if (isCutOff)
        m_cutOff.insert(number);
    else
        m_cutOff.erase(number);
}

asio::awaitable<void> GatewayFleet::relay(int number, std::shared_ptr<asio::ip::udp::socket> socket)
{
    const auto target = peerAddress(number);
    const asio::ip::udp::endpoint endpoint(asio::ip::make_address(target.ip), target.port);
    std::string buf(64 * 1'024, '\0');
    while (true) {
        boost::system::error_code ec;
        asio::ip::udp::endpoint from;
        const auto n = co_await socket->async_receive_from(asio::buffer(buf), from, asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted)
            co_return;
        const auto sender = hostNumber(from.address().to_string());
        const bool isCut = m_cutOff.contains(number) || m_cutOff.contains(sender);
        const bool isLost = std::uniform_real_distribution<double>(0, 1)(m_random) < m_lossShare;
        // The receiver replies to the address from which a datagram came, which has to be the relay of the sender.
        if (!ec && !isCut && !isLost)
            m_hosts.at(sender).relay->send_to(asio::buffer(buf, n), endpoint, 0, ec);
    }
}

void GatewayFleet::send(int host, std::string bytes, std::function<void(const CallerResponse&)> onEnd)
{
    asio::co_spawn(m_context, exchange(callerAddress(host), std::move(bytes), std::move(onEnd)), asio::detached);
}

asio::awaitable<void> GatewayFleet::exchange(Address to, std::string bytes, std::function<void(const CallerResponse&)> onEnd)
{
    const auto start = std::chrono::steady_clock::now();
    asio::ip::tcp::socket socket(m_context);
    boost::system::error_code ec;
    co_await socket.async_connect(http::toEndpoint(to), asio::redirect_error(asio::use_awaitable, ec));
    CallerResponse out;
    if (!ec) {
        co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
        boost::beast::flat_buffer buffer;
        boost::beast::http::response_parser<boost::beast::http::string_body> parser;
        co_await boost::beast::http::async_read(socket, buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
        const auto& response = parser.get();
        out.status = ec ? 0 : response.result_int();
        out.runner = std::string(response["X-Instance-Id"]);
        out.retryAfter = std::string(response["Retry-After"]);
        out.hasLimit = response.count("Server-Limit") > 0;
    }
    out.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start);
    onEnd(out);
}

void GatewayFleet::runFor(std::chrono::milliseconds duration)
{
    m_context.run_for(duration);
}

}

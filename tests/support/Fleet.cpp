#include "Fleet.h"

#include "chiveshelf/tables/TablesJson.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace support {

using chiveshelf::Address;
using chiveshelf::http::Verb;

namespace {

    constexpr std::uint16_t callerPort = 8080;
    constexpr std::uint16_t adminPort = 9090;
    constexpr std::uint16_t peerPort = 7070;
    constexpr std::uint16_t platformPort = 2380;
    constexpr std::uint16_t backendPort = 8000;
    constexpr std::uint16_t proxyControlPort = 9000;
    constexpr auto startTimeout = std::chrono::seconds(10);
    constexpr int defaultNetwork = 10;

    int networkFromEnvironment()
    {
        const char* network = std::getenv("CHIVESHELF_TEST_NETWORK");
        return network ? std::atoi(network) : defaultNetwork;
    }

}

Fleet::Fleet()
    : Fleet(networkFromEnvironment())
{
}

Fleet::Fleet(int network)
    : m_network(network)
{
    m_folder = (std::filesystem::temp_directory_path() / ("chiveshelf-test-" + std::to_string(m_network))).string();
    std::filesystem::create_directories(m_folder);
    m_networkLock = ::open((m_folder + "/lock").c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0644);
    if (m_networkLock < 0 || ::flock(m_networkLock, LOCK_EX) != 0)
        throw std::runtime_error("cannot lock " + m_folder);
}

Fleet::~Fleet()
{
    m_processes.clear();
    ::close(m_networkLock);
}

std::string Fleet::logPath(const std::string& name) const
{
    return m_folder + "/" + name + ".log";
}

Address Fleet::platform() const
{
    return { "127." + std::to_string(m_network) + ".0.1", platformPort };
}

Address Fleet::secondPlatform() const
{
    return { "127." + std::to_string(m_network) + ".0.2", platformPort };
}

void Fleet::setPlatformFaults(const Address& listener, const nlohmann::json& faults)
{
    call(listener, Verb::put, "/control/faults", {}, faults.dump());
}

int Fleet::runCtl(std::vector<std::string> arguments, std::string& output) const
{
    arguments.insert(arguments.end(), { "--platform", toString(platform()) });
    return runToCompletion("chivesctl", arguments, output);
}

Address Fleet::nextAddress(std::uint16_t port)
{
    return { "127." + std::to_string(m_network) + ".1." + std::to_string(m_nextHost++), port };
}

void Fleet::waitForPort(const Address& address, const std::string& path)
{
    if (!eventually([&] { return call(address, Verb::get, path).status != 0; }, startTimeout))
        throw std::runtime_error("no process responds at " + toString(address));
}

void Fleet::useProxy(const std::string& link)
{
    m_proxiedLinks.insert(link);
    if (m_proxyControl.port != 0)
        return;
    m_proxyControl = nextAddress(proxyControlPort);
    m_processes["proxy"] = std::make_unique<ChildProcess>("fake_fault_proxy", std::vector<std::string> { "--listen", toString(m_proxyControl) }, logPath("proxy"));
    waitForPort(m_proxyControl, "/links");
}

void Fleet::setFault(const std::string& link, const nlohmann::json& faults)
{
    const auto path = link.empty() ? "/links" : "/links/" + chiveshelf::http::percentEncode(link);
    if (call(m_proxyControl, Verb::put, path, {}, faults.dump()).status != 200)
        throw std::runtime_error("fault proxy rejected the faults of link " + link);
}

Address Fleet::addressThroughProxy(const std::string& link, const Address& target)
{
    if (!m_proxiedLinks.contains(link))
        return target;
    const auto listen = nextAddress(target.port);
    setFault(link, { { "listen", toString(listen) }, { "target", toString(target) } });
    return listen;
}

void Fleet::startPlatform()
{
    if (m_platformLink.port == 0)
        m_platformLink = addressThroughProxy("platform", platform());
    m_processes["platform"] = std::make_unique<ChildProcess>("fake_key_value", std::vector<std::string> { "--listen", toString(platform()), "--second-listen", toString(secondPlatform()) }, logPath("platform"));
    waitForPort(platform(), "/control/stats");
}

void Fleet::assignAddresses(const std::string& name, const std::string& dataCentre)
{
    if (m_backends.contains(name))
        return;
    m_listenAddresses[name] = nextAddress(backendPort);
    m_backends[name] = { name, addressThroughProxy(name, m_listenAddresses[name]), dataCentre };
}

void Fleet::startRunner(const std::string& name, const std::string& dataCentre, const std::vector<std::string>& extraFlags)
{
    assignAddresses(name, dataCentre);
    const auto& address = m_listenAddresses[name];
    std::vector<std::string> arguments { "--listen", toString(address) };
    arguments.insert(arguments.end(), extraFlags.begin(), extraFlags.end());
    m_processes[name] = std::make_unique<ChildProcess>("fake_runner", arguments, logPath(name));
    waitForPort(address, "/v1/load");
}

void Fleet::startService(const std::string& name, const std::string& dataCentre)
{
    assignAddresses(name, dataCentre);
    m_isService[name] = true;
    const auto& address = m_listenAddresses[name];
    m_processes[name] = std::make_unique<ChildProcess>("fake_service", std::vector<std::string> { "--listen", toString(address) }, logPath(name));
    waitForPort(address, "/control/runs");
}

void Fleet::startStore(const std::string& name, const std::string& dataCentre, const std::vector<std::string>& extraFlags)
{
    if (!m_stores.contains(name))
        m_stores[name] = { name, nextAddress(backendPort), dataCentre };
    const auto& address = m_stores[name].address;
    std::vector<std::string> arguments { "--listen", toString(address) };
    arguments.insert(arguments.end(), extraFlags.begin(), extraFlags.end());
    m_processes[name] = std::make_unique<ChildProcess>("fake_store", arguments, logPath(name));
    waitForPort(address, "/status");
}

void Fleet::startHost(const std::string& name, const std::string& dataCentre, const std::vector<std::string>& extraFlags)
{
    if (!m_hosts.contains(name)) {
        const auto address = nextAddress(callerPort);
        const HostAddresses listenAddresses { name, dataCentre, address, { address.ip, adminPort }, { address.ip, peerPort } };
        m_hostListenAddresses[name] = listenAddresses;
        m_hosts[name] = { name, dataCentre, addressThroughProxy(name + "/caller", listenAddresses.caller), listenAddresses.admin, addressThroughProxy(name + "/peer", listenAddresses.peer) };
    }
    const auto& host = m_hostListenAddresses[name];
    std::vector<std::string> arguments { "--host-name", name, "--data-centre", dataCentre, "--listen", toString(host.caller),
        "--admin-listen", toString(host.admin), "--peer-listen", toString(host.peer), "--platform", toString(m_platformLink.port ? m_platformLink : platform()),
        "--peer-advertise", toString(m_hosts[name].peer) };
    arguments.insert(arguments.end(), extraFlags.begin(), extraFlags.end());
    m_processes[name] = std::make_unique<ChildProcess>("chiveshelfd", arguments, logPath(name));
    waitForPort(host.admin, "/healthz");
}

void Fleet::setPlatformFaults(const nlohmann::json& faults)
{
    if (call(platform(), Verb::put, "/control/faults", {}, faults.dump()).status != 200)
        throw std::runtime_error("fake platform rejected the faults");
}

std::map<std::string, int> Fleet::operationRuns() const
{
    std::map<std::string, int> out;
    for (const auto& [name, isService] : m_isService) {
        const auto runs = nlohmann::json::parse(call(m_listenAddresses.at(name), Verb::get, "/control/runs").body);
        for (const auto& [operation, count] : runs.items())
            out[operation] += count.get<int>();
    }
    return out;
}

void Fleet::writeHostList(const std::set<std::string>& leaving)
{
    auto list = nlohmann::json::array();
    for (const auto& [name, host] : m_hosts)
        list.push_back({ { "name", name }, { "address", toString(host.peer) }, { "admin_address", toString(host.admin) }, { "data_centre", host.dataCentre }, { "leaving", leaving.contains(name) } });
    call(platform(), Verb::put, "/control/hosts", {}, list.dump());
}

nlohmann::json Fleet::state(const std::string& host) const
{
    const auto parsed = nlohmann::json::parse(call(m_hosts.at(host).admin, Verb::get, "/state", {}, {}, std::chrono::seconds(1)).body, nullptr, false);
    return parsed.is_object() ? parsed : nlohmann::json();
}

std::string Fleet::memberState(const std::string& observer, const std::string& member) const
{
    const auto dump = state(observer);
    for (const auto& row : dump.value("members", nlohmann::json::array())) {
        if (row["name"] == member)
            return row["state"];
    }
    return {};
}

chiveshelf::Tables Fleet::defaultTables() const
{
    chiveshelf::Tables tables;
    chiveshelf::Pool desk;
    desk.name = "desk";
    desk.model = "desk-model";
    desk.version = "v1";
    desk.targets = { std::chrono::seconds(5), std::chrono::seconds(10), std::chrono::seconds(30) };
    chiveshelf::Pool bookings;
    bookings.name = "bookings";
    bookings.kind = chiveshelf::PoolKind::Service;
    for (const auto& [name, backend] : m_backends)
        (m_isService.contains(name) ? bookings : desk).runners.push_back(backend);
    for (const auto& [name, store] : m_stores)
        desk.stores.push_back(store);
    if (!desk.runners.empty()) {
        tables.pools.push_back(desk);
        tables.routes.push_back({ "desk", "*", "desk-model", "", "desk", chiveshelf::Priority::Standard, std::nullopt, 1 });
    }
    if (!bookings.runners.empty()) {
        tables.pools.push_back(bookings);
        tables.routes.push_back({ "bookings", "*", "", "/bookings", "bookings", chiveshelf::Priority::Standard, std::nullopt, 1 });
    }
    return tables;
}

int Fleet::applyTables(const chiveshelf::Tables& tables)
{
    const auto path = m_folder + "/tables.json";
    std::ofstream(path) << formatTables(tables);
    std::string output;
    return runToCompletion("chivesctl", { "apply", path, "--platform", toString(platform()) }, output);
}

bool Fleet::waitForRevision(std::uint64_t revision, std::chrono::milliseconds timeout)
{
    return eventually(
        [&] {
            for (const auto& [name, host] : m_hosts) {
                const auto state = nlohmann::json::parse(call(host.admin, Verb::get, "/state").body, nullptr, false);
                if (!state.is_object() || state.value("tables_revision", std::uint64_t { 0 }) < revision)
                    return false;
            }
            return true;
        },
        timeout);
}

bool Fleet::waitForMembers(std::chrono::milliseconds timeout)
{
    return eventually(
        [&] {
            for (const auto& [name, host] : m_hosts) {
                const auto state = nlohmann::json::parse(call(host.admin, Verb::get, "/state").body, nullptr, false);
                if (!state.is_object())
                    return false;
                for (const auto& other : m_hosts) {
                    const auto& members = state["members"];
                    const bool isKnown = std::any_of(members.begin(), members.end(), [&](const auto& member) { return member["name"] == other.first; });
                    if (other.second.dataCentre == host.dataCentre && !isKnown)
                        return false;
                }
            }
            return true;
        },
        timeout);
}
}

#include "Platform.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <sstream>

namespace review {

using nlohmann::json;

namespace {

    constexpr char base64Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

    std::string encodeBase64(const std::string& bytes)
    {
        std::string out;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            const auto n = std::min<std::size_t>(bytes.size() - i, 3);
            std::uint32_t word = 0;
            for (std::size_t j = 0; j < 3; ++j)
                word = (word << 8U) | (j < n ? static_cast<unsigned char>(bytes[i + j]) : 0U);
            for (std::size_t j = 0; j < 4; ++j)
                out += j <= n ? base64Digits[(word >> (18 - 6 * j)) & 63U] : '=';
        }
        return out;
    }

    std::string decodeBase64(const std::string& text)
    {
        const std::string digits = base64Digits;
        std::string out;
        std::uint32_t word = 0;
        int bits = 0;
        for (const char c : text) {
            const auto value = digits.find(c);
            if (value == std::string::npos)
                continue;
            word = (word << 6U) | static_cast<std::uint32_t>(value);
            bits += 6;
            if (bits >= 8) {
                bits -= 8;
                out += static_cast<char>((word >> static_cast<unsigned>(bits)) & 255U);
            }
        }
        return out;
    }

    std::string decodePercent(const std::string& text)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                out += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                out += text[i];
            }
        }
        return out;
    }

    std::string parameter(const std::string& target, const std::string& name)
    {
        std::stringstream query(target.find('?') == std::string::npos ? std::string() : target.substr(target.find('?') + 1));
        std::string pair;
        while (std::getline(query, pair, '&')) {
            if (pair.starts_with(name + "="))
                return decodePercent(pair.substr(name.size() + 1));
        }
        return {};
    }

}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

Record::Record(const std::string& path)
    : m_file(path)
{
}

std::int64_t Record::now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_start).count();
}

void Record::line(const std::string& text)
{
    const std::lock_guard lock(m_mutex);
    m_file << now() << " " << text << std::endl;
}

Server::Server(const std::string& ip, Handler handler)
{
    const int fd = listenOn(ip, 0);
    m_port = portOf(fd);
    std::thread([fd, handler = std::move(handler)] {
        while (true) {
            const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([accepted, handler] {
                Connection connection(accepted);
                handler(connection);
            }).detach();
        }
    }).detach();
}

Store::Store(const std::string& ip)
    : m_server(std::make_unique<Server>(ip, [this](Connection& connection) { serve(connection); }))
{
    std::thread([this] {
        while (true) {
            sleepMs(20);
            expireLeases();
        }
    }).detach();
}

json Store::itemRow(const std::string& key, const Item& item)
{
    return { { "key", key }, { "value", encodeBase64(item.value) }, { "rev", item.revision }, { "createRevision", item.created }, { "lease", item.lease } };
}

void Store::change(const std::string& key, const Item* item)
{
    if (item) {
        auto next = *item;
        const auto known = m_items.find(key);
        next.revision = m_revision;
        next.created = known == m_items.end() ? m_revision : known->second.created;
        m_items[key] = next;
        m_history.emplace_back(m_revision, itemRow(key, next));
    } else if (m_items.erase(key) > 0) {
        m_history.emplace_back(m_revision, json { { "key", key }, { "rev", m_revision }, { "removed", true } });
    }
}

void Store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    ++m_revision;
    const Item item { value, 0, 0, 0 };
    change(key, &item);
    m_changed.notify_all();
}

void Store::remove(const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    ++m_revision;
    change(key, nullptr);
    m_changed.notify_all();
}

void Store::expireLeases()
{
    const std::lock_guard lock(m_mutex);
    const auto now = std::chrono::steady_clock::now();
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (lease->second.end > now) {
            ++lease;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item.lease == lease->first)
                keys.push_back(key);
        }
        for (const auto& key : keys) {
            ++m_revision;
            change(key, nullptr);
        }
        lease = m_leases.erase(lease);
        m_changed.notify_all();
    }
}

void Store::serve(Connection& connection)
{
    while (const auto request = connection.read()) {
        sleepMs(4);
        if (!connection.write(answer(*request)))
            break;
    }
}

std::string Store::answer(const Message& request)
{
    const auto& target = request.second;
    const auto path = target.substr(0, target.find('?'));
    if (path == "/kv-range")
        return range(parameter(target, "pathPrefix"), parameter(target, "after"));
    if (path == "/kv-watch")
        return watch(std::strtoull(parameter(target, "after").c_str(), nullptr, 10), std::chrono::milliseconds(std::atoi(parameter(target, "waitMs").c_str())));
    const std::lock_guard lock(m_mutex);
    if (path == "/kv-key") {
        const auto it = m_items.find(parameter(target, "key"));
        if (it == m_items.end())
            return responseText(404, json { { "storeRevision", m_revision } }.dump());
        auto row = itemRow(it->first, it->second);
        row["storeRevision"] = m_revision;
        return responseText(200, row.dump());
    }
    if (path == "/kv-txn")
        return transact(json::parse(request.body));
    if (path == "/kv-lease") {
        const std::chrono::milliseconds timeToLive(json::parse(request.body).at("ttlMs").get<std::int64_t>());
        m_leases[++m_lastLease] = { timeToLive, std::chrono::steady_clock::now() + timeToLive };
        return responseText(200, json { { "lease", m_lastLease }, { "ttlMs", timeToLive.count() } }.dump());
    }
    const auto lease = m_leases.find(std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10));
    if (lease == m_leases.end())
        return responseText(404, "{}");
    if (path.starts_with("/kv-keep/"))
        lease->second.end = std::chrono::steady_clock::now() + lease->second.timeToLive;
    else
        lease->second.end = std::chrono::steady_clock::now();
    return responseText(200, "{}");
}

std::string Store::range(const std::string& prefix, const std::string& after)
{
    const std::lock_guard lock(m_mutex);
    json items = json::array();
    bool hasMore = false;
    std::size_t bytes = 0;
    for (auto it = m_items.upper_bound(after); it != m_items.end(); ++it) {
        if (!it->first.starts_with(prefix))
            continue;
        // "At most about 500 items or 1 MB."
        hasMore = items.size() >= 500 || bytes >= 1'000'000;
        if (hasMore)
            break;
        bytes += it->second.value.size();
        items.push_back(itemRow(it->first, it->second));
    }
    return responseText(200, json { { "items", items }, { "hasMore", hasMore }, { "storeRevision", m_revision } }.dump());
}

std::string Store::watch(std::uint64_t after, std::chrono::milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, wait, [&] { return !m_history.empty() && m_history.back().first > after; });
    json events = json::array();
    for (const auto& [revision, event] : m_history) {
        if (revision > after)
            events.push_back(event);
    }
    return responseText(200, json { { "events", events }, { "storeRevision", m_revision } }.dump());
}

std::string Store::transact(const json& call)
{
    json present = json::array();
    bool holds = true;
    for (const auto& row : call.at("expected")) {
        const auto it = m_items.find(row.at("key").get<std::string>());
        holds = holds && row.at("rev").get<std::uint64_t>() == (it == m_items.end() ? 0 : it->second.revision);
        if (it != m_items.end())
            present.push_back(itemRow(it->first, it->second));
    }
    if (!holds)
        return responseText(412, json { { "items", present } }.dump());
    for (const auto& row : call.at("setKeys")) {
        const auto lease = row.value("lease", std::uint64_t { 0 });
        if (lease != 0 && !m_leases.contains(lease))
            return responseText(404, "{}");
    }
    ++m_revision;
    for (const auto& row : call.at("setKeys")) {
        const Item item { decodeBase64(row.at("value").get<std::string>()), 0, 0, row.value("lease", std::uint64_t { 0 }) };
        change(row.at("key").get<std::string>(), &item);
    }
    for (const auto& key : call.at("remove"))
        change(key.get<std::string>(), nullptr);
    m_changed.notify_all();
    return responseText(200, json { { "rev", m_revision } }.dump());
}

Gateway::Gateway(std::string program, GatewaySite site, std::string logPath)
    : m_program(std::move(program))
    , m_site(std::move(site))
    , m_logPath(std::move(logPath))
{
}

Gateway::~Gateway()
{
    end(SIGKILL);
}

void Gateway::start(bool isFirstStart)
{
    const auto address = [this](int port) { return m_site.ip + ":" + std::to_string(port); };
    // The words of deploy/system.toml, with the limits and bounds of glowline-lanterns.
    std::vector<std::string> words { m_program, "gateway", "--host-name=" + m_site.name, "--data-centre=" + m_site.zone,
        "--listen=" + address(m_site.listenPort), "--admin-listen=" + address(m_site.adminPort), "--peer-listen=" + address(m_site.peerPort),
        "--contacts=" + m_site.contacts, "--store=" + m_site.store, "--stop-limit-s=8", "--order-gap-ms=3000", "--version-limit-ms=6000",
        "--retry-share=0.2", "--retry-reserve=52", "--retry-window-s=10", std::string("--first-start=") + (isFirstStart ? "true" : "false"),
        "--most-descriptors=4100", "--link-mbps=" + m_site.linkMbps, "--cpu-share=0.25", "--log-level=info" };
    std::vector<char*> arguments;
    for (auto& word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const int log = ::open(m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t child = ::fork();
    if (child == 0) {
        // The process ends with the case, also if that is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::execv(arguments[0], arguments.data());
        ::_exit(127);
    }
    ::close(log);
    m_process = child;
}

void Gateway::signal(int signal) const
{
    if (m_process > 0)
        ::kill(m_process, signal);
}

void Gateway::end(int signal)
{
    const pid_t process = m_process.exchange(-1);
    if (process <= 0)
        return;
    ::kill(process, signal);
    int status = 0;
    ::waitpid(process, &status, 0);
}

bool Gateway::isReady() const
{
    const int fd = connectTo(m_site.ip, m_site.adminPort);
    if (fd < 0)
        return false;
    Connection connection(fd);
    connection.setReadTimeout(1000);
    connection.write("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    const auto response = connection.read();
    return response && response->second == "200";
}

bool Gateway::awaitReady(int ms) const
{
    for (int i = 0; i < ms / 50; ++i) {
        if (isReady())
            return true;
        sleepMs(50);
    }
    return false;
}

std::int64_t Gateway::memoryBytes() const
{
    const pid_t process = m_process;
    if (process <= 0)
        return 0;
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("RssAnon:"))
            return std::strtoll(line.c_str() + 8, nullptr, 10) * 1024;
    }
    return 0;
}

}

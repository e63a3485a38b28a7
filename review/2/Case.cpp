// One machine is cut from the store for some seconds; a runner leaves just after the cut. See claim.txt.

#include "../standins/Platform.h"
#include "../standins/StoreLink.h"

#include <csignal>
#include <cstdlib>
#include <set>

using namespace review;

namespace {

constexpr std::int64_t drainMs = 2'000;
constexpr std::int64_t stableMs = 3'000;
constexpr std::int64_t cutMs = 4'900;
// When the entry of the runner that leaves is removed, after the end of the cut.
constexpr std::int64_t leaveMs = 900;
// A runner that left continues serving for drainMs and a little longer.
constexpr std::int64_t serveOnMs = 2'600;
constexpr int workMs = 150;
constexpr int clients = 24;

const char* const tables = R"({"version":1,"routes":[
{"name":"booking","host":"desk.example","pathPrefix":"/booking/","kind":"non_idempotent","timeoutMs":3000,"goalMs":300,"priority":2,"service":"rota-desk","attempts":1,"public":false}],
"services":[{"name":"rota-desk","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}],
"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerMs":3000,"idleMs":15000},
"tenants":[{"name":"desk","apiKeys":["key1"],"priority":1}]})";

class Runner {
public:
    Runner(std::string id, const std::string& ip, Record& record)
        : m_id(std::move(id))
        , m_record(record)
        , m_server(ip, [this](Connection& connection) { serve(connection); })
    {
    }

    int port() const { return m_server.port(); }
    const std::string& id() const { return m_id; }

    // Arrivals from this moment on are late.
    void countFrom(std::int64_t ms) { m_lateFrom = ms; }
    int lateArrivals() const { return m_late; }

    // Ends all work in progress, as the exit of a process does.
    void exit()
    {
        m_hasExited = true;
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_open)
            ::shutdown(fd, SHUT_RDWR);
    }

private:
    void serve(Connection& connection)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_open.insert(connection.fd());
        }
        while (!m_hasExited) {
            const auto request = connection.read();
            if (!request || m_hasExited)
                break;
            const auto id = request->header("x-request-id");
            const auto headers = "X-Request-Id: " + id + "\r\nX-Instance-Id: " + m_id + "\r\n";
            if (request->header("x-expect-instance") != m_id) {
                connection.write(responseText(421, "", headers));
                continue;
            }
            const bool isLate = m_record.now() > m_lateFrom;
            m_late += isLate ? 1 : 0;
            m_record.line("runner " + m_id + " runs " + id + (isLate ? ", late" : ""));
            sleepMs(workMs);
            if (m_hasExited) {
                m_record.line("runner " + m_id + " exits while it runs " + id);
                break;
            }
            connection.write(responseText(200, "booked " + id, headers + "X-Server-Seal: " + m_id + "." + id + "\r\n"));
        }
        const std::lock_guard lock(m_mutex);
        m_open.erase(connection.fd());
    }

    std::string m_id;
    Record& m_record;
    std::atomic<bool> m_hasExited { false };
    std::atomic<std::int64_t> m_lateFrom { INT64_MAX };
    std::atomic<int> m_late { 0 };
    std::mutex m_mutex;
    std::set<int> m_open;
    Server m_server;
};

class Case {
public:
    Case(const std::string& program, const std::string& folder, const std::string& logs, bool isTrouble)
        : m_isTrouble(isTrouble)
        , m_record(folder + "/record.txt")
        , m_store("127.0.63.1")
        , m_link("127.0.63.3", "127.0.63.1", m_store.port())
    {
        for (int i = 0; i < 3; ++i)
            m_runners.push_back(std::make_unique<Runner>("i-desk" + std::to_string(i), "127.0.63.2", m_record));
        beat();
        m_store.put("op/config", tables);
        const std::string ip = "127.0.63.11";
        GatewaySite site { "front-1", "hartford", ip, freePort(ip), freePort(ip), freePort(ip), ip + ":1", "127.0.63.3:" + std::to_string(m_link.port()) };
        m_gateway = std::make_unique<Gateway>(program, site, logs + "/front-1.log");
        m_gateway->start(true);
    }

    int run()
    {
        if (!m_gateway->awaitReady(10'000))
            return 2;
        std::thread([this] {
            while (true) {
                sleepMs(1'200);
                beat();
            }
        }).detach();
        std::vector<std::thread> callers;
        for (int i = 0; i < clients; ++i)
            callers.emplace_back([this, i] { book(i); });
        sleepMs(4'000);
        if (m_isTrouble) {
            m_record.line("the machine is cut from the store");
            m_link.cut();
        }
        sleepMs(cutMs);
        if (m_isTrouble)
            m_link.heal();
        const auto healed = m_record.now();
        m_record.line("the cut has ended");
        sleepMs(leaveMs);
        auto& leaving = *m_runners.front();
        {
            const std::lock_guard lock(m_mutex);
            m_hasLeft = true;
        }
        m_store.remove("servers/" + leaving.id());
        const auto acknowledged = m_record.now();
        m_record.line("the entry of " + leaving.id() + " is removed");
        // In touch again, and drainMs after the acknowledgement.
        leaving.countFrom(std::max(acknowledged + drainMs, m_isTrouble ? healed + stableMs : 0));
        sleepMs(serveOnMs);
        leaving.exit();
        m_record.line(leaving.id() + " exits");
        sleepMs(1'500);
        m_isStopped = true;
        for (auto& caller : callers)
            caller.join();
        m_record.line("bookings answered 200: " + std::to_string(m_answered) + ", not: " + std::to_string(m_failed) + "; late arrivals at "
            + leaving.id() + ": " + std::to_string(leaving.lateArrivals()));
        const bool isBroken = leaving.lateArrivals() > 0;
        m_record.line(std::string("DRAIN ") + (isBroken ? "broken" : "held"));
        m_gateway->end(SIGKILL);
        if (m_answered == 0)
            return 2;
        return isBroken ? 1 : 0;
    }

private:
    void beat()
    {
        const std::lock_guard lock(m_mutex);
        ++m_sequence;
        for (std::size_t i = m_hasLeft ? 1 : 0; i < m_runners.size(); ++i) {
            const nlohmann::json entry { { "service", "rota-desk" }, { "zone", "hartford" }, { "version", "v1" }, { "capacity", 6 }, { "state", "ready" },
                { "coldLeftMs", 0 }, { "address", "127.0.63.2:" + std::to_string(m_runners[i]->port()) }, { "sequence", m_sequence },
                { "born", 1'700'000'000'000 + static_cast<std::int64_t>(i) } };
            m_store.put("servers/" + m_runners[i]->id(), entry.dump());
        }
    }

    void book(int client)
    {
        std::unique_ptr<Connection> connection;
        for (int i = 0; !m_isStopped; ++i) {
            if (!connection) {
                const int fd = connectTo(m_gateway->site().ip, m_gateway->site().listenPort);
                if (fd < 0)
                    return;
                connection = std::make_unique<Connection>(fd);
                connection->setReadTimeout(4'000);
            }
            const auto id = "booking-" + std::to_string(client) + "-" + std::to_string(i);
            connection->write("POST /booking/1 HTTP/1.1\r\nHost: desk.example\r\nApi-Key: key1\r\nX-Deadline-Ms: 3000\r\nX-Request-Id: " + id
                + "\r\nContent-Length: 4\r\n\r\nbook");
            const auto response = connection->read();
            if (response && response->second == "200") {
                ++m_answered;
            } else {
                ++m_failed;
                m_record.line("client " + id + ": " + (response ? response->second : "no answer"));
            }
            if (!response)
                connection.reset();
            sleepMs(30);
        }
    }

    bool m_isTrouble;
    Record m_record;
    Store m_store;
    StoreLink m_link;
    std::vector<std::unique_ptr<Runner>> m_runners;
    std::unique_ptr<Gateway> m_gateway;
    std::mutex m_mutex;
    bool m_hasLeft = false;
    std::int64_t m_sequence = 0;
    std::atomic<int> m_answered { 0 };
    std::atomic<int> m_failed { 0 };
    std::atomic<bool> m_isStopped { false };
};

}

int main(int argc, char** argv)
{
    if (argc != 4)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    const char* trouble = std::getenv("TROUBLE");
    // Never destroyed, since threads of the stand-ins may still use it.
    auto* theCase = new Case(argv[1], argv[2], argv[3], !trouble || std::string(trouble) != "0");
    std::_Exit(theCase->run());
}

#pragma once

#include "Platform.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <set>

// A small deployment of the desk of glowline-lanterns: the store, three runners, two machines, and clients that pay deposits.
namespace review {

// glowline-lanterns: memory_mb of a front machine.
constexpr std::int64_t memoryLimitBytes = 110'000'000;
// LOST: "more than three times". Fault: "processes end by themselves three times in the day", on two machines at least.
constexpr int allowedLosses = 3;
constexpr int faultEnds = 3;

inline const char* const deskTables = R"({"version":1,"routes":[
{"name":"charge","host":"desk.example","pathPrefix":"/charge/","kind":"non_idempotent","timeoutMs":1200,"goalMs":150,"priority":2,"service":"stall-desk","attempts":1,"public":false},
{"name":"status","host":"desk.example","pathPrefix":"/status/","kind":"idempotent","timeoutMs":1200,"goalMs":150,"priority":2,"service":"stall-desk","attempts":2,"public":false}],
"services":[{"name":"stall-desk","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}],
"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerMs":3000,"idleMs":15000},
"tenants":[{"name":"stalls","apiKeys":["key1"],"priority":1}]})";

// A runner of stall-desk: six slots, a queue of 24, 30 ms of work.
class Runner {
public:
    Runner(std::string id, const std::string& ip, Record& record)
        : m_id(std::move(id))
        , m_record(record)
        , m_server(ip, [this](Connection& connection) { serve(connection); })
    {
    }

    int port() const { return m_server.port(); }
    bool hasRun(const std::string& request)
    {
        const std::lock_guard lock(m_mutex);
        return m_runs.contains(request);
    }

private:
    static constexpr int slots = 6;
    static constexpr int places = 30;
    static constexpr int workMs = 30;

    void serve(Connection& connection)
    {
        while (const auto request = connection.read()) {
            const auto id = request->header("x-request-id");
            const auto headers = "X-Request-Id: " + id + "\r\nX-Instance-Id: " + m_id + "\r\n";
            if (request->header("x-expect-instance") != m_id) {
                if (!connection.write(responseText(421, "", headers)))
                    return;
                continue;
            }
            if (!take(id)) {
                if (!connection.write(responseText(503, "", headers + "X-Not-Executed: 1\r\n")))
                    return;
                continue;
            }
            sleepMs(workMs);
            release();
            if (!connection.write(responseText(200, "done " + id, headers + "X-Server-Seal: " + m_id + "." + id + "\r\n")))
                return;
        }
    }

    bool take(const std::string& id)
    {
        std::unique_lock lock(m_mutex);
        if (m_taken >= places)
            return false;
        ++m_taken;
        m_freed.wait(lock, [&] { return m_running < slots; });
        ++m_running;
        m_runs.insert(id);
        m_record.line("runner " + m_id + " runs " + id);
        return true;
    }

    void release()
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
        --m_taken;
        m_freed.notify_one();
    }

    std::string m_id;
    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_freed;
    int m_taken = 0;
    int m_running = 0;
    std::set<std::string> m_runs;
    Server m_server;
};

// The platform's machine: kills a process that uses more than its memory, and starts it again.
class Machine {
public:
    Machine(Gateway& gateway, Record& record)
        : m_gateway(gateway)
        , m_record(record)
        , m_thread([this] { watch(); })
    {
    }
    ~Machine()
    {
        m_isStopped = true;
        m_thread.join();
    }
    Machine(const Machine&) = delete;
    Machine& operator=(const Machine&) = delete;

    int kills() const { return m_kills; }
    std::int64_t peakBytes() const { return m_peakBytes; }

private:
    void watch()
    {
        while (!m_isStopped) {
            sleepMs(2);
            const auto bytes = m_gateway.memoryBytes();
            m_peakBytes = std::max(m_peakBytes.load(), bytes);
            if (bytes <= memoryLimitBytes)
                continue;
            m_gateway.end(SIGKILL);
            ++m_kills;
            m_record.line("platform kills " + m_gateway.site().name + ", which uses " + std::to_string(bytes) + " bytes of " + std::to_string(memoryLimitBytes));
            sleepMs(500);
            m_gateway.start(false);
        }
    }

    Gateway& m_gateway;
    Record& m_record;
    std::atomic<bool> m_isStopped { false };
    std::atomic<int> m_kills { 0 };
    std::atomic<std::int64_t> m_peakBytes { 0 };
    std::thread m_thread;
};

class DeskCase {
public:
    // `network` is the first three numbers of the addresses.
    DeskCase(const std::string& network, const std::string& program, const std::string& folder, const std::string& logs)
        : m_network(network)
        , m_record(folder + "/record.txt")
        , m_store(m_network + ".1")
    {
        for (int i = 0; i < 3; ++i)
            m_runners.push_back(std::make_unique<Runner>("i-desk" + std::to_string(i), m_network + ".2", m_record));
        beat();
        m_store.put("op/config", deskTables);
        const std::vector<std::string> ips { m_network + ".11", m_network + ".12" };
        const int listenPort = freePort(ips[0]);
        const int adminPort = freePort(ips[0]);
        const int peerPort = freePort(ips[0]);
        for (const auto& ip : ips) {
            GatewaySite site { "front-" + ip.substr(ip.rfind('.') + 1), "spanish-town", ip, listenPort, adminPort, peerPort, ips[0] + ":1," + ips[1] + ":1",
                m_network + ".1:" + std::to_string(m_store.port()) };
            m_gateways.push_back(std::make_unique<Gateway>(program, site, logs + "/" + site.name + ".log"));
            m_gateways.back()->start(true);
        }
        std::thread([this] {
            while (true) {
                sleepMs(1200);
                beat();
            }
        }).detach();
    }

    virtual ~DeskCase() = default;
    DeskCase(const DeskCase&) = delete;
    DeskCase& operator=(const DeskCase&) = delete;

    int run()
    {
        for (const auto& gateway : m_gateways) {
            if (!gateway->awaitReady(10'000))
                return 2;
        }
        std::vector<std::unique_ptr<Machine>> machines;
        for (const auto& gateway : m_gateways)
            machines.push_back(std::make_unique<Machine>(*gateway, m_record));
        // Traffic before the first trouble, longer than stableMs.
        std::vector<std::thread> usual;
        for (int i = 0; i < 4 * static_cast<int>(m_gateways.size()); ++i)
            usual.emplace_back([this, i] { charge(i); });
        sleepMs(4'000);
        play();
        sleepMs(1'000);
        m_isStopped = true;
        for (auto& thread : usual)
            thread.join();
        return judge(machines);
    }

    void endProcesses()
    {
        for (const auto& gateway : m_gateways)
            gateway->end(SIGKILL);
    }

protected:
    // Does what the case is about, beside the deposits.
    virtual void play() = 0;

    Record& record() { return m_record; }
    Store& store() { return m_store; }
    const std::vector<std::unique_ptr<Gateway>>& gateways() const { return m_gateways; }
    int answeredDeposits() const { return m_answered; }

    static std::string requestText(const std::string& path, const std::string& id, const std::string& body)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nApi-Key: key1\r\nX-Deadline-Ms: 2500\r\nX-Request-Id: " + id
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

private:
    void beat()
    {
        const nlohmann::json entry { { "service", "stall-desk" }, { "zone", "spanish-town" }, { "version", "v1" }, { "capacity", 6 }, { "state", "ready" }, { "coldLeftMs", 0 } };
        ++m_sequence;
        for (std::size_t i = 0; i < m_runners.size(); ++i) {
            auto own = entry;
            own["address"] = m_network + ".2:" + std::to_string(m_runners[i]->port());
            own["sequence"] = m_sequence;
            own["born"] = 1'700'000'000'000 + static_cast<std::int64_t>(i);
            m_store.put("servers/i-desk" + std::to_string(i), own.dump());
        }
    }

    // A usual client: short deposits one after another on a kept connection.
    void charge(int client)
    {
        const auto& gateway = *m_gateways[static_cast<std::size_t>(client) % m_gateways.size()];
        std::unique_ptr<Connection> connection;
        for (int i = 0; !m_isStopped; ++i) {
            if (!connection) {
                const int fd = connectTo(gateway.site().ip, gateway.site().listenPort);
                if (fd < 0) {
                    sleepMs(100);
                    continue;
                }
                connection = std::make_unique<Connection>(fd);
                connection->setReadTimeout(3'000);
            }
            const auto id = "charge-" + std::to_string(client) + "-" + std::to_string(i);
            if (!connection->write(requestText("/charge/1", id, std::string(600, 'c')))) {
                connection.reset();
                continue;
            }
            const auto response = connection->read();
            if (response) {
                ++m_answered;
            } else if (connection->hasTimedOut()) {
                m_record.line("client " + id + ": no answer after 3 s");
                ++m_late;
                connection.reset();
            } else {
                m_record.line("client " + id + ": the connection ended without an answer");
                const std::lock_guard lock(m_mutex);
                m_unanswered.push_back(id);
                connection.reset();
            }
            sleepMs(20);
        }
    }

    int judge(const std::vector<std::unique_ptr<Machine>>& machines)
    {
        int losses = 0;
        for (const auto& id : m_unanswered) {
            const bool hasRun = std::any_of(m_runners.begin(), m_runners.end(), [&](const auto& runner) { return runner->hasRun(id); });
            losses += hasRun ? 1 : 0;
        }
        bool isFault = true;
        for (const auto& machine : machines) {
            m_record.line("peak memory " + std::to_string(machine->peakBytes()) + " bytes, ends for its memory: " + std::to_string(machine->kills()));
            isFault = isFault && machine->kills() >= faultEnds;
        }
        m_record.line("deposits answered: " + std::to_string(m_answered) + "; passed on, run and never answered: " + std::to_string(losses)
            + "; without an answer after 3 s: " + std::to_string(m_late));
        const bool isBroken = losses > allowedLosses || isFault;
        m_record.line(std::string("LOST ") + (losses > allowedLosses ? "broken" : "held") + "; Fault (two machines, three ends each) " + (isFault ? "broken" : "held"));
        if (m_answered == 0)
            return 2;
        return isBroken ? 1 : 0;
    }

    std::string m_network;
    Record m_record;
    Store m_store;
    std::vector<std::unique_ptr<Runner>> m_runners;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::int64_t m_sequence = 0;
    std::mutex m_mutex;
    std::vector<std::string> m_unanswered;
    std::atomic<int> m_answered { 0 };
    std::atomic<int> m_late { 0 };
    std::atomic<bool> m_isStopped { false };
};

inline bool hasTrouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

// Runs a case that is never destroyed, since threads of the stand-ins may still use it, and ends this process.
[[noreturn]] inline void finish(DeskCase& theCase)
{
    const int result = theCase.run();
    theCase.endProcesses();
    std::_Exit(result);
}

}

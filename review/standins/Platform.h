#pragma once

#include "Http.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

// record.txt: lines with the milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& path);
    void line(const std::string& text);
    std::int64_t now() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
};

// Accepts connections and serves each in a thread of its own until the process ends.
class Server {
public:
    using Handler = std::function<void(Connection&)>;

    Server(const std::string& ip, Handler);
    int port() const { return m_port; }

private:
    int m_port;
};

// The platform's store, as PROTOCOL.md describes it.
class Store {
public:
    explicit Store(const std::string& ip);
    int port() const { return m_server->port(); }
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Lease {
        std::chrono::milliseconds timeToLive;
        std::chrono::steady_clock::time_point end;
    };

    void serve(Connection&);
    std::string answer(const Message&);
    std::string range(const std::string& prefix, const std::string& after);
    std::string watch(std::uint64_t after, std::chrono::milliseconds wait);
    std::string transact(const nlohmann::json&);
    void change(const std::string& key, const Item* item);
    void expireLeases();
    static nlohmann::json itemRow(const std::string& key, const Item&);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<std::pair<std::uint64_t, nlohmann::json>> m_history;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lastLease = 0;
    std::unique_ptr<Server> m_server;
};

// Where a gateway listens, and the limits of its machine.
struct GatewaySite {
    std::string name;
    std::string zone;
    std::string ip;
    int listenPort = 0;
    int adminPort = 0;
    int peerPort = 0;
    std::string contacts;
    std::string store;
    std::string linkMbps = "1000";
};

// A process of the deploy file's role `gateway`, started with the command of deploy/system.toml.
class Gateway {
public:
    Gateway(std::string program, GatewaySite, std::string logPath);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    void start(bool isFirstStart);
    // Sends the signal to the process and waits for its end.
    void end(int signal);
    void signal(int signal) const;
    bool isReady() const;
    bool awaitReady(int ms) const;
    const GatewaySite& site() const { return m_site; }
    pid_t process() const { return m_process; }
    // Anonymous resident memory in bytes, without files and the sockets' buffers.
    std::int64_t memoryBytes() const;

private:
    std::string m_program;
    GatewaySite m_site;
    std::string m_logPath;
    std::atomic<pid_t> m_process { -1 };
};

void sleepMs(std::int64_t ms);

}

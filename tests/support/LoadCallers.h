#pragma once

#include "Fleet.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

namespace support {

// One streamed completion as its caller saw it.
struct CallRecord {
    std::string host;
    std::chrono::steady_clock::time_point startedAt;
    std::chrono::milliseconds duration { 0 };
    unsigned status = 0;
    // The answer ended with [DONE].
    bool isComplete = false;
    // No connection was made.
    bool isNotSent = false;
    std::string body;
};

// Callers behind a load balancer that asks /readyz of every host and sends each completion to a ready one in turn. They
// request until stop().
class LoadCallers {
public:
    LoadCallers(const Fleet&, std::vector<std::string> hosts, int callers, int maxTokens);
    ~LoadCallers();
    LoadCallers(const LoadCallers&) = delete;
    LoadCallers& operator=(const LoadCallers&) = delete;

    // Ends the callers after their present requests and returns all records.
    std::vector<CallRecord> stop();

private:
    void callLoop(int caller);
    void balanceLoop();
    std::string pickHost(int caller);

    const Fleet& m_fleet;
    std::vector<std::string> m_hosts;
    int m_maxTokens;
    std::atomic<bool> m_isStopping { false };
    std::mutex m_mutex;
    std::set<std::string> m_ready;
    std::vector<CallRecord> m_records;
    std::vector<std::thread> m_threads;
};

// Sends one streamed completion to the host.
CallRecord streamCompletion(const HostAddresses&, int maxTokens, const std::string& prompt);

// Describes the records that did not end whole, for the message of a failed assertion.
std::string describeFailures(const std::vector<CallRecord>&);

}

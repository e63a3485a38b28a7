#pragma once

#include "Fleet.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

namespace support {

// Result of a streamed completion, as received by its caller.
struct CallRecord {
    std::string host;
    std::chrono::steady_clock::time_point startedAt;
    std::chrono::milliseconds duration { 0 };
    unsigned status = 0;
    // True if the response ended with [DONE].
    bool isComplete = false;
    // True if no connection was established.
    bool isNotSent = false;
    std::string body;
};

// Callers behind a load balancer that polls /readyz of every host and distributes the completions over the ready hosts in turn.
// They send requests until stop().
class LoadCallers {
public:
    LoadCallers(const Fleet&, std::vector<std::string> hosts, int callers, int maxTokens);
    ~LoadCallers();
    LoadCallers(const LoadCallers&) = delete;
    LoadCallers& operator=(const LoadCallers&) = delete;

    // Stops the callers when their current requests have ended, and returns all records.
    std::vector<CallRecord> stop();

private:
    void callLoop(int caller);
    void readinessLoop();
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

// Sends a streamed completion to the host and waits for its end.
CallRecord streamCompletion(const HostAddresses&, int maxTokens, const std::string& prompt);

// Returns a description of the incomplete responses, for the message of a failed assertion; empty if there are none.
std::string describeFailures(const std::vector<CallRecord>&);

}

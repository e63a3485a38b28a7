#pragma once

#include <chrono>
#include <ctime>
#include <mutex>
#include <thread>
#include <vector>

namespace support {

// Gives processes a share of a processor each: a process that has used more than its share is stopped until it has made up for it. The
// processes have to outlive the quota.
class ProcessorQuota {
public:
    // `share` is a part of one processor.
    explicit ProcessorQuota(double share);
    ~ProcessorQuota();
    ProcessorQuota(const ProcessorQuota&) = delete;
    ProcessorQuota& operator=(const ProcessorQuota&) = delete;

    void add(int process);

private:
    struct Entry {
        int process = 0;
        clockid_t clock {};
        std::chrono::nanoseconds used { 0 };
        // Processor time that may be used now; negative while the process is stopped.
        std::chrono::duration<double> balance { 0 };
        bool isStopped = false;
    };

    void run(const std::stop_token&);
    void update(Entry&, std::chrono::duration<double> elapsed) const;

    double m_share;
    std::mutex m_mutex;
    std::vector<Entry> m_entries;
    std::jthread m_thread;
};

}

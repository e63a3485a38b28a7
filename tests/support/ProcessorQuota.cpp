#include "ProcessorQuota.h"

#include <algorithm>
#include <csignal>

namespace support {

namespace {

    constexpr std::chrono::milliseconds checkInterval { 2 };
    // The period of the kernel's own quotas: a process that was idle can run without a stop for its share of this time.
    constexpr std::chrono::duration<double> period { 0.1 };

    std::chrono::nanoseconds usedTime(clockid_t clock)
    {
        timespec time {};
        ::clock_gettime(clock, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    }

}

ProcessorQuota::ProcessorQuota(double share)
    : m_share(share)
    , m_thread([this](const std::stop_token& token) { run(token); })
{
}

ProcessorQuota::~ProcessorQuota()
{
    m_thread.request_stop();
    m_thread.join();
    for (const auto& entry : m_entries)
        ::kill(entry.process, SIGCONT);
}

void ProcessorQuota::add(int process)
{
    Entry entry { process };
    if (::clock_getcpuclockid(process, &entry.clock) != 0)
        return;
    entry.used = usedTime(entry.clock);
    const std::lock_guard lock(m_mutex);
    m_entries.push_back(entry);
}

void ProcessorQuota::run(const std::stop_token& token)
{
    auto last = std::chrono::steady_clock::now();
    while (!token.stop_requested()) {
        std::this_thread::sleep_for(checkInterval);
        const auto now = std::chrono::steady_clock::now();
        const std::lock_guard lock(m_mutex);
        for (auto& entry : m_entries)
            update(entry, now - last);
        last = now;
    }
}

void ProcessorQuota::update(Entry& entry, std::chrono::duration<double> elapsed) const
{
    const auto used = usedTime(entry.clock);
    const std::chrono::duration<double> balance = entry.balance + elapsed * m_share - (used - entry.used);
    entry.balance = std::min<std::chrono::duration<double>>(balance, period * m_share);
    entry.used = used;
    const bool mustStop = entry.balance.count() < 0;
    if (mustStop == entry.isStopped)
        return;
    entry.isStopped = mustStop;
    ::kill(entry.process, mustStop ? SIGSTOP : SIGCONT);
}

}

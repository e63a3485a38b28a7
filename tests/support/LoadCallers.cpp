#include "LoadCallers.h"

namespace support {

using chiveshelf::http::Verb;

namespace {

    constexpr auto readinessInterval = std::chrono::milliseconds(500);
    constexpr auto readinessTimeout = std::chrono::milliseconds(400);

}

LoadCallers::LoadCallers(const Fleet& fleet, std::vector<std::string> hosts, int callers, int maxTokens)
    : m_fleet(fleet)
    , m_hosts(std::move(hosts))
    , m_maxTokens(maxTokens)
    , m_ready(m_hosts.begin(), m_hosts.end())
{
    m_threads.emplace_back([this] { readinessLoop(); });
    for (int i = 0; i < callers; ++i)
        m_threads.emplace_back([this, i] { callLoop(i); });
}

LoadCallers::~LoadCallers()
{
    stop();
}

std::vector<CallRecord> LoadCallers::stop()
{
    m_isStopping = true;
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
    return m_records;
}

void LoadCallers::readinessLoop()
{
    while (!m_isStopping) {
        for (const auto& name : m_hosts) {
            const bool isReady = call(m_fleet.host(name).admin, Verb::get, "/readyz", {}, {}, readinessTimeout).status == 200;
            const std::lock_guard lock(m_mutex);
            if (isReady)
                m_ready.insert(name);
            else
                m_ready.erase(name);
        }
        std::this_thread::sleep_for(readinessInterval);
    }
}

std::string LoadCallers::pickHost(int caller)
{
    const std::lock_guard lock(m_mutex);
    if (m_ready.empty())
        return m_hosts.front();
    auto it = m_ready.begin();
    std::advance(it, static_cast<std::ptrdiff_t>((static_cast<std::size_t>(caller) + m_records.size()) % m_ready.size()));
    return *it;
}

void LoadCallers::callLoop(int caller)
{
    while (!m_isStopping) {
        auto record = streamCompletion(m_fleet.host(pickHost(caller)), m_maxTokens, "prompt of caller " + std::to_string(caller));
        const std::lock_guard lock(m_mutex);
        m_records.push_back(std::move(record));
    }
}

CallRecord streamCompletion(const HostAddresses& host, int maxTokens, const std::string& prompt)
{
    const nlohmann::json body { { "model", "desk-model" }, { "prompt", prompt }, { "max_tokens", maxTokens }, { "stream", true } };
    CallRecord record;
    record.host = host.name;
    record.startedAt = std::chrono::steady_clock::now();
    const auto response = call(host.caller, Verb::post, "/v1/completions", { { "X-Organisation", "org-a" } }, body.dump());
    record.duration = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - record.startedAt);
    record.status = response.status;
    record.isNotSent = response.isNotSent;
    const auto events = sseEvents(response.body);
    record.isComplete = response.status == 200 && !events.empty() && events.back() == "[DONE]";
    if (!record.isComplete)
        record.body = response.body;
    return record;
}

std::string describeFailures(const std::vector<CallRecord>& records)
{
    std::string out;
    for (const auto& record : records) {
        if (!record.isComplete)
            out += record.host + " status " + std::to_string(record.status) + (record.isNotSent ? " not sent " : " ") + record.body + "\n";
    }
    return out;
}

}

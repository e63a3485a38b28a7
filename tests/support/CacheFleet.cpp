#include "CacheFleet.h"

#include "fakes/FakeRunner.h"

#include <stdexcept>

namespace support {

using chiveshelf::http::Verb;
using nlohmann::json;

namespace {

    thread_local std::int64_t cachedTokensOfLastCompletion = 0;

}

CacheFleet::CacheFleet(CacheFleetFlags flags)
    : m_runners(flags.runners)
{
    const auto tokens = std::to_string(blockTokens);
    m_fleet.startPlatform();
    std::vector<std::string> runnerFlags { "--block-tokens", tokens, "--prefill-us-per-token", "200", "--bytes-per-token", "1024", "--cache-blocks", "200" };
    runnerFlags.insert(runnerFlags.end(), flags.runnerFlags.begin(), flags.runnerFlags.end());
    for (int i = 0; i < m_runners; ++i)
        m_fleet.startRunner(runnerName(i), "east", runnerFlags);
    startStore(flags.storeFlags);
    // Rollouts are off because the tests send the load commands themselves.
    m_fleet.startHost("host-1", "east", { "--cache-block-tokens", tokens, "--rollouts", "off" });
    m_fleet.startHost("host-2", "east", { "--cache-block-tokens", tokens, "--rollouts", "off", "--cache-imports", "off", "--cache-exports", "off" });
    m_fleet.writeHostList();
    m_tables = m_fleet.defaultTables();
    m_tables.pools.at(0).slotsPerRunner = flags.slotsPerRunner;
    if (m_fleet.applyTables(m_tables) != 0 || !m_fleet.waitForRevision(1, std::chrono::seconds(4)))
        throw std::runtime_error("tables were not applied on every host within 4 s");
}

std::string CacheFleet::prompt(const std::string& name, std::size_t blocks)
{
    std::string out;
    for (int i = 0; out.size() < blocks * blockBytes; ++i)
        out += name + " " + std::to_string(i) + ". ";
    out.resize(blocks * blockBytes);
    return out;
}

std::string CacheFleet::checkCompletion(const std::string& organisation, const std::string& prompt, int maxTokens, const std::string& host)
{
    const json body { { "model", "desk-model" }, { "prompt", prompt }, { "max_tokens", maxTokens } };
    const auto response = call(m_fleet.host(host).caller, Verb::post, "/v1/completions", { { "X-Organisation", organisation } }, body.dump(),
        std::chrono::seconds(20));
    if (response.status != 200)
        return "status " + std::to_string(response.status) + " " + response.body;
    std::string expected;
    for (int i = 0; i < maxTokens; ++i)
        expected += fakes::answerToken(prompt, i);
    const auto parsed = json::parse(response.body);
    cachedTokensOfLastCompletion = parsed["usage"]["prompt_tokens_details"]["cached_tokens"];
    return parsed["choices"][0]["text"] == expected ? "" : "wrong answer: " + response.body;
}

std::int64_t CacheFleet::cachedTokens()
{
    return cachedTokensOfLastCompletion;
}

json CacheFleet::stats(const chiveshelf::Address& address)
{
    const auto out = json::parse(call(address, Verb::get, "/control/stats").body, nullptr, false);
    return out.is_object() ? out : json::object();
}

void CacheFleet::setStoreFaults(const json& faults)
{
    call(m_fleet.store("store-1"), Verb::put, "/control/faults", {}, faults.dump());
}

void CacheFleet::setRunnerFaults(const json& faults)
{
    for (int i = 0; i < m_runners; ++i)
        call(m_fleet.backend(runnerName(i)), Verb::put, "/control/faults", {}, faults.dump());
}

bool CacheFleet::waitForStoredBlocks(std::int64_t blocks)
{
    return eventually([&] { return storeStats().value("blocks", std::int64_t { 0 }) >= blocks; }, std::chrono::seconds(10));
}

std::int64_t CacheFleet::runnerTotal(const std::string& counter)
{
    std::int64_t n = 0;
    for (int i = 0; i < m_runners; ++i)
        n += runnerStats(i).value(counter, std::int64_t { 0 });
    return n;
}

double CacheFleet::metric(const std::string& name)
{
    const auto text = "\n" + call(m_fleet.host("host-1").admin, Verb::get, "/metrics").body;
    const auto at = text.find("\n" + name + " ");
    return at == std::string::npos ? -1 : std::stod(text.substr(at + name.size() + 2));
}

}

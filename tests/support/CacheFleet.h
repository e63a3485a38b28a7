#pragma once

#include "Fleet.h"

#include <nlohmann/json.hpp>

namespace support {

// Options of a CacheFleet: additional command-line flags of its runners and its store, and its size.
struct CacheFleetFlags {
    std::vector<std::string> runnerFlags;
    std::vector<std::string> storeFlags;
    int runners = 1;
    int slotsPerRunner = 8;
};

// A fleet of host-1, which imports and exports blocks, host-2, which does neither, one store, and runners with blocks of 100
// tokens that take 20 ms to compute.
class CacheFleet {
public:
    static constexpr std::size_t blockBytes = 400;
    static constexpr int blockTokens = 100;

    explicit CacheFleet(CacheFleetFlags = {});
    CacheFleet(const CacheFleet&) = delete;
    CacheFleet& operator=(const CacheFleet&) = delete;

    // Returns a prompt of `blocks` complete blocks. Prompts with different names share no block.
    static std::string prompt(const std::string& name, std::size_t blocks);

    // Requests a completion and checks that the answer is complete and belongs to the prompt. Returns a description of the error,
    // or an empty string.
    std::string checkCompletion(const std::string& organisation, const std::string& prompt, int maxTokens = 3, const std::string& host = "host-1");

    // Returns the cached tokens reported by this thread's last successful checkCompletion().
    static std::int64_t cachedTokens();

    nlohmann::json runnerStats(int runner = 0) { return stats(m_fleet.backend(runnerName(runner))); }
    nlohmann::json storeStats() { return stats(m_fleet.store("store-1")); }
    void setStoreFaults(const nlohmann::json&);
    void setRunnerFaults(const nlohmann::json&);
    void evictRunnerCaches() { setRunnerFaults({ { "evict_all", true } }); }
    void startStore(const std::vector<std::string>& flags = {}) { m_fleet.startStore("store-1", "east", flags); }
    bool waitForStoredBlocks(std::int64_t blocks);

    // Returns the sum of a counter over all runners.
    std::int64_t runnerTotal(const std::string& counter);

    // Returns the value of a metric of host-1, or -1 if the host does not report it.
    double metric(const std::string& name);

    Fleet& fleet() { return m_fleet; }
    chiveshelf::Tables& tables() { return m_tables; }
    static std::string runnerName(int runner) { return "runner-" + std::to_string(runner); }

private:
    static nlohmann::json stats(const chiveshelf::Address&);

    Fleet m_fleet;
    chiveshelf::Tables m_tables;
    int m_runners;
};

}

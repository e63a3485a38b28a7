#pragma once

#include "chiveshelf/cache/ExportManager.h"
#include "chiveshelf/core/Priority.h"
#include "chiveshelf/core/StoredPrefix.h"

namespace chiveshelf {

// How this host uses cache blocks.
struct CacheSettings {
    std::int64_t blockTokens = defaultBlockTokens;
    bool hasImports = true;
    bool hasExports = true;

    auto operator<=>(const CacheSettings&) const = default;
};

// A store host of a pool.
struct StoreHost {
    std::string name;
    Address address;

    auto operator<=>(const StoreHost&) const = default;
};

// The blocks of one prompt and what its store has of them.
struct PromptBlocks {
    BlockIdentity identity;
    // Keys of the prompt's whole blocks, first block first.
    std::vector<std::string> keys;
    std::optional<Address> store;
    // Records of the leading blocks that the store has whole.
    std::vector<BlockRecord> records;
    StoredPrefix stored;
};

// Blocks that a runner is to import. `inFlight` counts the import on its link until it is reset.
struct ImportPlan {
    std::vector<BlockRecord> records;
    // Time for one block, after which the runner computes it instead.
    std::chrono::milliseconds limitPerBlock { 0 };
    std::shared_ptr<void> inFlight;
};

// What became of a prompt's blocks on a runner.
struct BlockUse {
    Address runner;
    // Leading blocks whose import was planned.
    std::size_t plannedBlocks = 0;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t importedTokens = 0;
    // Time to the first token, -1 if there was none.
    std::int64_t firstTokenMs = -1;
};

// Counters for metrics.
struct CacheCounters {
    std::uint64_t lookUps = 0;
    std::uint64_t lookUpFailures = 0;
    std::uint64_t importPlans = 0;
    std::uint64_t importFailures = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t importedTokens = 0;
};

// Finds the stored blocks of prompts, plans their import and has new blocks exported. For each request call lookUp() before it
// is queued, planImport() before it starts on a runner, and finish() after its answer. No failure here fails a request.
class BlockCache {
public:
    BlockCache(boost::asio::io_context&, http::Client&, CacheSettings, ExportManager::Exporter);
    BlockCache(const BlockCache&) = delete;
    BlockCache& operator=(const BlockCache&) = delete;

    void start();

    // Computes the keys of a prompt and asks one store, chosen by the first key, for the records of its leading blocks.
    boost::asio::awaitable<PromptBlocks> lookUp(BlockIdentity, std::string prompt, std::vector<StoreHost>);

    // Returns a prompt's keys alone, for an identity that was not looked up.
    PromptBlocks makePromptBlocks(BlockIdentity, const std::string& prompt) const;

    // Returns the stored blocks that are worth an import: none while the link has too many, or when recomputing is faster.
    ImportPlan planImport(const PromptBlocks&, Priority);

    // Takes the outcome into the estimates and offers the prompt's new blocks for export.
    void finish(const PromptBlocks&, const BlockUse&);

    const CacheCounters& counters() const { return m_counters; }
    const ExportManager& exports() const { return m_exports; }

private:
    struct ReturnCount {
        std::int64_t prompts = 0;
        std::int64_t returns = 0;
    };

    std::optional<double> secondsPerToken(const std::string& model) const;
    void learn(const PromptBlocks&, const BlockUse&);

    CacheSettings m_settings;
    HttpStore m_stores;
    StoreLinks m_links;
    ExportManager m_exports;
    // Measured time to compute one prompt token, in s, by model.
    std::map<std::string, double> m_secondsPerToken;
    std::map<std::string, ReturnCount> m_returns;
    CacheCounters m_counters;
};

}

#pragma once

#include "chiveshelf/cache/ExportManager.h"
#include "chiveshelf/core/Priority.h"
#include "chiveshelf/core/StoredPrefix.h"

namespace chiveshelf {

// Settings of the block cache on this host.
struct CacheSettings {
    // Size of a block in tokens.
    std::int64_t blockTokens = defaultBlockTokens;
    bool isImportEnabled = true;
    bool isExportEnabled = true;

    auto operator<=>(const CacheSettings&) const = default;
};

// A store host of a pool.
struct StoreHost {
    std::string name;
    Address address;

    auto operator<=>(const StoreHost&) const = default;
};

// The blocks of one prompt and the records of those that its store holds.
struct PromptBlocks {
    BlockIdentity identity;
    // Keys of the prompt's complete blocks, in prompt order.
    std::vector<std::string> keys;
    // The store chosen by lookUp(), or nothing if the pool has no store or the prompt has no complete block.
    std::optional<Address> store;
    // Records of the leading blocks, up to the first one that the store does not hold completely.
    std::vector<BlockRecord> records;
    // Size of the blocks in `records` and the speed of the link to the store.
    StoredPrefix stored;
};

// The blocks that a runner should import.
struct ImportPlan {
    std::vector<BlockRecord> records;
    // Time limit for the import of one block, after which the runner recomputes it.
    std::chrono::milliseconds limitPerBlock { 0 };
    // Counts the import as in flight on the link to the store until it is reset.
    std::shared_ptr<void> inFlight;
};

// How a runner used a prompt's blocks.
struct BlockUsage {
    Address runner;
    // Leading blocks whose import was planned.
    std::size_t plannedBlocks = 0;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t importedTokens = 0;
    // Time to the first token in ms, or -1 if there was none.
    std::int64_t firstTokenMs = -1;
};

// Counters since the start of the process, for metrics.
struct CacheCounters {
    std::uint64_t lookUps = 0;
    std::uint64_t lookUpFailures = 0;
    std::uint64_t importPlans = 0;
    std::uint64_t importFailures = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t importedTokens = 0;
};

// Looks up the stored blocks of prompts, plans their import and offers new blocks for export. For each request call lookUp()
// before it is queued, planImport() before it starts on a runner, and finish() after its answer. A failure in the cache never
// fails a request.
class BlockCache {
public:
    BlockCache(boost::asio::io_context&, http::Client&, CacheSettings, ExportManager::Exporter);
    BlockCache(const BlockCache&) = delete;
    BlockCache& operator=(const BlockCache&) = delete;

    void start();

    // Computes the keys of a prompt and requests the records of its leading blocks from one store, which is chosen by the first
    // key. Returns the keys without records if there is no usable store, if imports are disabled or if the look-up fails.
    boost::asio::awaitable<PromptBlocks> lookUp(BlockIdentity, std::string prompt, std::vector<StoreHost>);

    // Returns a prompt's block keys without a look-up in a store.
    PromptBlocks makePromptBlocks(BlockIdentity, const std::string& prompt) const;

    // Plans the import of the stored blocks. The plan is empty if the link has too many imports in flight for this priority or if
    // recomputing is estimated to be faster.
    ImportPlan planImport(const PromptBlocks&, Priority);

    // Updates the estimates from a request's outcome and offers the prompt's new blocks for export.
    void finish(const PromptBlocks&, const BlockUsage&);

    const CacheCounters& counters() const { return m_counters; }
    const ExportManager& exports() const { return m_exports; }

private:
    // The prompts of one organisation, and those of them that had cached, imported or stored blocks.
    struct ReturnCounts {
        std::int64_t prompts = 0;
        std::int64_t returns = 0;
    };

    std::optional<double> secondsPerToken(const std::string& model) const;
    void updateEstimates(const PromptBlocks&, const BlockUsage&);

    CacheSettings m_settings;
    HttpStore m_stores;
    StoreLinks m_links;
    ExportManager m_exports;
    // Measured time to compute one prompt token in s, by model.
    std::map<std::string, double> m_secondsPerToken;
    std::map<std::string, ReturnCounts> m_returnCounts;
    CacheCounters m_counters;
};

}

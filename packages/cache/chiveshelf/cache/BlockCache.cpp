#include "chiveshelf/cache/BlockCache.h"

#include "chiveshelf/core/Log.h"
#include "chiveshelf/membership/RendezvousHash.h"

#include <algorithm>

namespace chiveshelf {

namespace asio = boost::asio;
using Clock = StoreLinks::Clock;

namespace {

    // Maximum number of this host's imports in flight on one link, by priority class, most urgent class first.
    constexpr std::array<int, priorityCount> maximumImports { 8, 4, 2 };
    // Time limit per block before the compute time of the model has been measured.
    constexpr auto defaultImportLimit = std::chrono::milliseconds(1'000);
    // Lower bound of the time limit per block, to allow for scheduling delays on a busy machine.
    constexpr auto minimumImportLimit = std::chrono::milliseconds(200);
    // The import of a block is aborted after this multiple of the estimated time to compute the block.
    constexpr double importLimitFactor = 2;
    // Weight of the newest measurement in the moving average of the compute time per token.
    constexpr double estimateWeight = 0.2;
    // Maximum number of organisations with return counts. All counts are cleared when it is exceeded.
    constexpr std::size_t maximumOrganisations = 10'000;

    const StoreHost* chooseStore(const std::string& firstKey, const std::vector<StoreHost>& stores)
    {
        std::vector<std::string> names;
        names.reserve(stores.size());
        for (const auto& store : stores)
            names.push_back(store.name);
        const auto ranked = rankByRendezvous(firstKey, std::move(names));
        const auto it = std::find_if(stores.begin(), stores.end(), [&](const StoreHost& store) { return !ranked.empty() && store.name == ranked.front(); });
        return it == stores.end() ? nullptr : &*it;
    }

    std::vector<BlockRecord> leadingRecords(const std::vector<std::string>& keys, std::vector<BlockRecord> records)
    {
        std::vector<BlockRecord> out;
        for (const auto& key : keys) {
            const auto it = std::find_if(records.begin(), records.end(), [&](const BlockRecord& record) { return record.key == key; });
            if (it == records.end())
                break;
            out.push_back(std::move(*it));
        }
        return out;
    }

}

BlockCache::BlockCache(asio::io_context& context, http::Client& client, CacheSettings settings, ExportManager::Exporter exporter)
    : m_settings(settings)
    , m_stores(client, {})
    , m_exports(context, m_stores, m_links, std::move(exporter))
{
}

void BlockCache::start()
{
    m_exports.start();
}

PromptBlocks BlockCache::makePromptBlocks(BlockIdentity identity, const std::string& prompt) const
{
    PromptBlocks out;
    out.keys = computeBlockKeys(identity, prompt, static_cast<std::size_t>(m_settings.blockTokens) * estimatedBytesPerToken);
    out.identity = std::move(identity);
    return out;
}

asio::awaitable<PromptBlocks> BlockCache::lookUp(BlockIdentity identity, std::string prompt, std::vector<StoreHost> stores)
{
    auto out = makePromptBlocks(std::move(identity), prompt);
    const auto* store = out.keys.empty() ? nullptr : chooseStore(out.keys.front(), stores);
    if (!store)
        co_return out;
    out.store = store->address;
    if (!m_settings.isImportEnabled || !m_links.isUsable(store->address, Clock::now()))
        co_return out;
    ++m_counters.lookUps;
    auto found = co_await m_stores.lookUp(store->address, out.keys);
    if (!found) {
        ++m_counters.lookUpFailures;
        m_links.recordFailure(store->address, Clock::now());
        logEvent(LogLevel::Warning, "store_lookup_failed",
            { { "organisation", out.identity.organisation }, { "store", store->name }, { "error", found.error().message } });
        co_return out;
    }
    out.records = leadingRecords(out.keys, std::move(found->records));
    out.stored.blocks = static_cast<std::int64_t>(out.records.size());
    for (const auto& record : out.records)
        out.stored.bytes += record.length;
    out.stored.bytesPerSecond = m_links.bytesPerSecond(store->address).value_or(0);
    co_return out;
}

std::optional<double> BlockCache::secondsPerToken(const std::string& model) const
{
    const auto it = m_secondsPerToken.find(model);
    return it == m_secondsPerToken.end() ? std::nullopt : std::optional(it->second);
}

ImportPlan BlockCache::planImport(const PromptBlocks& blocks, Priority priority)
{
    ImportPlan plan;
    if (blocks.records.empty() || m_links.importsInFlight(*blocks.store) >= maximumImports[priorityIndex(priority)])
        return plan;
    const auto count = static_cast<double>(blocks.records.size());
    plan.limitPerBlock = defaultImportLimit;
    if (const auto perToken = secondsPerToken(blocks.identity.model)) {
        const auto recomputeSeconds = *perToken * static_cast<double>(m_settings.blockTokens) * count;
        const auto speed = m_links.bytesPerSecond(*blocks.store);
        const auto transfers = 1 + m_links.importsInFlight(*blocks.store);
        if (speed && static_cast<double>(blocks.stored.bytes) * transfers / *speed > recomputeSeconds)
            return plan;
        plan.limitPerBlock = std::max(minimumImportLimit, std::chrono::milliseconds(static_cast<std::int64_t>(recomputeSeconds / count * 1'000 * importLimitFactor)));
    }
    plan.records = blocks.records;
    plan.inFlight = m_links.beginImport(*blocks.store);
    ++m_counters.importPlans;
    return plan;
}

void BlockCache::updateEstimates(const PromptBlocks& blocks, const BlockUsage& usage)
{
    const auto reused = usage.cachedTokens + usage.importedTokens;
    const auto computed = usage.promptTokens - reused;
    const auto seconds = static_cast<double>(usage.firstTokenMs) / 1'000;
    if (usage.plannedBlocks > 0 && reused < static_cast<std::int64_t>(usage.plannedBlocks) * m_settings.blockTokens) {
        ++m_counters.importFailures;
        m_links.recordFailure(*blocks.store, Clock::now());
        logEvent(LogLevel::Warning, "import_failed",
            { { "organisation", blocks.identity.organisation }, { "store", toString(*blocks.store) }, { "planned_blocks", usage.plannedBlocks },
                { "imported_tokens", usage.importedTokens }, { "cached_tokens", usage.cachedTokens } });
        return;
    }
    if (usage.firstTokenMs < 0)
        return;
    if (usage.importedTokens > 0) {
        m_links.recordSuccess(*blocks.store);
        const auto bytes = blocks.stored.bytes * usage.importedTokens / std::max<std::int64_t>(1, blocks.stored.blocks * m_settings.blockTokens);
        const auto transferSeconds = seconds - secondsPerToken(blocks.identity.model).value_or(0) * static_cast<double>(computed);
        m_links.recordTransfer(*blocks.store, bytes, std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(transferSeconds)));
    } else if (computed >= m_settings.blockTokens) {
        const auto perToken = seconds / static_cast<double>(computed);
        const auto known = secondsPerToken(blocks.identity.model);
        m_secondsPerToken[blocks.identity.model] = known ? *known * (1 - estimateWeight) + perToken * estimateWeight : perToken;
    }
}

void BlockCache::finish(const PromptBlocks& blocks, const BlockUsage& usage)
{
    const auto reused = usage.cachedTokens + usage.importedTokens;
    m_counters.promptTokens += static_cast<std::uint64_t>(usage.promptTokens);
    m_counters.cachedTokens += static_cast<std::uint64_t>(usage.cachedTokens);
    m_counters.importedTokens += static_cast<std::uint64_t>(usage.importedTokens);
    if (blocks.keys.empty())
        return;
    updateEstimates(blocks, usage);
    if (m_returnCounts.size() > maximumOrganisations)
        m_returnCounts.clear();
    auto& count = m_returnCounts[blocks.identity.organisation];
    ++count.prompts;
    count.returns += reused > 0 || blocks.stored.blocks > 0 ? 1 : 0;
    const auto storedBlocks = static_cast<std::size_t>(blocks.stored.blocks);
    if (!m_settings.isExportEnabled || !blocks.store || storedBlocks >= blocks.keys.size())
        return;
    const auto likelihood = static_cast<double>(count.returns + 1) / static_cast<double>(count.prompts + 2);
    ExportOffer offer;
    offer.identity = blocks.identity;
    offer.runner = usage.runner;
    offer.store = *blocks.store;
    offer.keys.assign(blocks.keys.begin() + static_cast<std::ptrdiff_t>(storedBlocks), blocks.keys.end());
    // Before the first measurement the cost is in tokens instead of seconds, which yields the same order of offers.
    offer.value = likelihood * secondsPerToken(blocks.identity.model).value_or(1) * static_cast<double>(usage.promptTokens);
    offer.offeredAt = Clock::now();
    m_exports.offer(std::move(offer));
}

}

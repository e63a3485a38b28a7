#include "chiveshelf/idempotency/ShardWriter.h"

#include "chiveshelf/core/Hash.h"
#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Tasks.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chiveshelf {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

namespace {

    constexpr auto layoutKey = "chiveshelf/idempotency/layout";
    constexpr std::size_t largestGroup = 512;
    // Conflicts and lost replies in a row before the group is refused.
    constexpr int maximumRounds = 6;
    // A shard is written by one host per data centre, so that conflicts are few; the jitter keeps two writers from meeting again.
    constexpr auto conflictJitter = std::chrono::milliseconds(8);
    constexpr auto refusalPeriod = std::chrono::milliseconds(300);
    constexpr auto retryAfterOutage = std::chrono::milliseconds(1'000);
    // A host may use 32 MB for control; an eighth of it is left to copies of shards.
    constexpr std::size_t cacheBytes = 4'000'000;

    std::string shardKey(std::uint32_t shard)
    {
        return "chiveshelf/idempotency/shard-" + std::to_string(shard);
    }

    Shard::Time wallClock()
    {
        return std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now());
    }

}

struct ShardWriter::Operation {
    explicit Operation(asio::io_context& context)
        : timer(context, Clock::time_point::max())
    {
    }

    asio::steady_timer timer;
    std::optional<ClaimKey> claim;
    std::optional<CompleteKey> completion;
    // Decision of the last round; it counts only once the round is written.
    Result<ClaimReply> decision;
    std::optional<Result<ClaimReply>> result;
};

struct ShardWriter::ShardState {
    std::deque<std::shared_ptr<Operation>> pending;
    bool isRunning = false;
    // Copy of the stored value; not present before the first read and after a conflict.
    std::optional<Shard> copy;
    Revision revision = 0;
};

ShardWriter::ShardWriter(asio::io_context& context, HttpPlatform& platform, ShardWriterSettings settings)
    : m_context(context)
    , m_platform(platform)
    , m_settings(settings)
{
}

ShardWriter::~ShardWriter() = default;

std::uint32_t ShardWriter::shardOf(const std::string& organisation, const std::string& key) const
{
    return static_cast<std::uint32_t>(hash64(organisation + " " + key) % m_settings.shards);
}

asio::awaitable<Result<ClaimReply>> ShardWriter::claim(ClaimKey message)
{
    if (Clock::now() < m_refuseUntil)
        co_return tl::unexpected(m_lastError);
    auto operation = std::make_shared<Operation>(m_context);
    operation->claim = std::move(message);
    co_return co_await submit(std::move(operation));
}

asio::awaitable<Result<CompletionReply>> ShardWriter::complete(CompleteKey message)
{
    auto operation = std::make_shared<Operation>(m_context);
    operation->completion = std::move(message);
    const auto result = co_await submit(std::move(operation));
    if (!result)
        co_return tl::unexpected(result.error());
    co_return CompletionReply {};
}

asio::awaitable<Result<ClaimReply>> ShardWriter::submit(std::shared_ptr<Operation> operation)
{
    ++m_counters.operations;
    const auto shard = operation->claim ? shardOf(operation->claim->organisation, operation->claim->key)
                                        : shardOf(operation->completion->organisation, operation->completion->key);
    auto& state = m_shards[shard];
    if (!state)
        state = std::make_unique<ShardState>();
    state->pending.push_back(operation);
    if (!state->isRunning) {
        state->isRunning = true;
        spawnTask(m_context, "shard_writer.run", run(shard));
    }
    boost::system::error_code ec;
    while (!operation->result)
        co_await operation->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    co_return std::move(*operation->result);
}

asio::awaitable<void> ShardWriter::run(std::uint32_t shard)
{
    auto& state = *m_shards.at(shard);
    asio::steady_timer timer(m_context);
    while (!state.pending.empty()) {
        if (m_settings.window.count() > 0) {
            boost::system::error_code ec;
            timer.expires_after(m_settings.window);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        }
        const auto limit = m_settings.window.count() > 0 ? largestGroup : 1;
        Group group;
        while (!state.pending.empty() && group.size() < limit) {
            group.push_back(std::move(state.pending.front()));
            state.pending.pop_front();
        }
        ++m_counters.groups;
        const auto written = co_await write(shard, group);
        if (!written) {
            ++m_counters.failures;
            state.copy.reset();
            m_refuseUntil = Clock::now() + refusalPeriod;
            m_lastError = { ErrorCode::Unavailable, "idempotency records can not be written at present: " + written.error().message, Verdict::NotRun, retryAfterOutage };
            logEvent(LogLevel::Warning, "idempotency_write_failed",
                { { "shard", shard }, { "operations", group.size() }, { "error", written.error().message } });
        }
        answer(group, written);
        limitCache(shard);
    }
    state.isRunning = false;
}

asio::awaitable<Result<KeyValueEntry>> ShardWriter::read(std::string key)
{
    auto entry = co_await m_platform.get(key);
    if (!entry && entry.error().code == ErrorCode::Timeout)
        entry = co_await m_platform.get(key);
    co_return entry;
}

asio::awaitable<Result<void>> ShardWriter::load(std::uint32_t shard)
{
    auto& state = *m_shards.at(shard);
    auto entry = co_await read(shardKey(shard));
    if (!entry)
        co_return tl::unexpected(entry.error());
    auto parsed = Shard::parse(entry->value, m_settings.limits);
    if (!parsed)
        co_return tl::unexpected(parsed.error());
    state.copy = std::move(*parsed);
    state.revision = entry->revision;
    co_return Result<void> {};
}

asio::awaitable<Result<void>> ShardWriter::checkLayout()
{
    if (m_hasCheckedLayout)
        co_return Result<void> {};
    const auto wanted = std::to_string(m_settings.shards);
    auto entry = co_await read(layoutKey);
    if (entry && entry->revision == 0) {
        co_await m_platform.compareAndSwap(layoutKey, 0, wanted, std::nullopt);
        entry = co_await read(layoutKey);
    }
    if (!entry)
        co_return tl::unexpected(entry.error());
    if (entry->value != wanted) {
        logEvent(LogLevel::Error, "idempotency_layout_differs", { { "stored", entry->value }, { "configured", wanted } });
        co_return failure(ErrorCode::Unavailable, "number of idempotency shards differs from the stored one", Verdict::NotRun);
    }
    m_hasCheckedLayout = true;
    co_return Result<void> {};
}

asio::awaitable<Result<void>> ShardWriter::write(std::uint32_t shard, const Group& group)
{
    auto& state = *m_shards.at(shard);
    auto checked = co_await checkLayout();
    if (!checked) {
        checked.error().verdict = Verdict::NotRun;
        co_return checked;
    }
    Error last { ErrorCode::Conflict, "idempotency shard has too many writers", Verdict::NotRun, std::nullopt };
    // Once one write may have taken effect, a later failure does not make the group "not written".
    auto verdict = Verdict::NotRun;
    for (int round = 0; round < maximumRounds; ++round) {
        const bool isFresh = !state.copy;
        if (isFresh) {
            auto loaded = co_await load(shard);
            if (!loaded) {
                last = loaded.error();
                break;
            }
        }
        const auto now = wallClock();
        Shard next = *state.copy;
        next.prune(now);
        bool isFinal = true;
        for (const auto& operation : group) {
            if (operation->claim) {
                operation->decision = next.claim(*operation->claim, now);
                isFinal = isFinal && operation->decision && operation->decision->state == ClaimState::Completed;
            } else {
                next.complete(*operation->completion, now);
                operation->decision = ClaimReply {};
            }
        }
        if (!next.hasChanged()) {
            if (isFresh || isFinal)
                co_return Result<void> {};
            // A refusal decided on an old copy may be out of date: another data centre may have written since.
            state.copy.reset();
            continue;
        }
        auto value = next.serialize();
        auto revision = co_await m_platform.compareAndSwap(shardKey(shard), state.revision, std::move(value), std::nullopt);
        if (revision) {
            ++m_counters.writes;
            state.revision = *revision;
            state.copy = std::move(next);
            state.copy->resetChanged();
            co_return Result<void> {};
        }
        last = revision.error();
        state.copy.reset();
        if (last.code == ErrorCode::Conflict) {
            ++m_counters.conflicts;
            asio::steady_timer timer(m_context, conflictJitter * (1 + static_cast<int>(hash64(makeUniqueId()) % 4)) / 4);
            boost::system::error_code ec;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        if (last.verdict == Verdict::NotRun)
            break;
        verdict = Verdict::MayHaveRun;
        // The write may have taken effect or may do so later. Reading the shard again and deciding again settles both: an attempt
        // that finds its own claim is granted, and a late write conflicts with the next one.
        ++m_counters.readBacks;
    }
    last.verdict = verdict;
    co_return tl::unexpected(last);
}

void ShardWriter::answer(const Group& group, const Result<void>& written)
{
    for (const auto& operation : group) {
        if (written) {
            if (!operation->decision)
                ++m_counters.full;
            operation->result = operation->decision;
        } else {
            operation->result = failure(written.error().code == ErrorCode::RateLimited ? ErrorCode::RateLimited : ErrorCode::Unavailable,
                "idempotency record could not be written: " + written.error().message, written.error().verdict, retryAfterOutage);
        }
        operation->timer.cancel();
    }
}

void ShardWriter::limitCache(std::uint32_t keep)
{
    std::size_t total = 0;
    for (const auto& [shard, state] : m_shards)
        total += state->copy ? state->copy->bytes() : 0;
    for (const auto& [shard, state] : m_shards) {
        if (total <= cacheBytes)
            return;
        if (shard == keep || state->isRunning || !state->copy)
            continue;
        total -= state->copy->bytes();
        state->copy.reset();
    }
}

}

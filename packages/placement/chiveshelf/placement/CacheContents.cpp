#include "chiveshelf/placement/CacheContents.h"

#include "chiveshelf/core/Hash.h"

#include <algorithm>

namespace chiveshelf {

namespace {

    // Share of a store's capacity that saves may fill. The rest covers the store's rounding up to whole blocks and concurrent saves
    // of other hosts, which are not known yet.
    constexpr double usableShare = 0.95;

    std::uint64_t keyOf(const std::string& scope, std::uint64_t part)
    {
        return hash64(scope, part);
    }

}

std::uint32_t storeNumber(const Address& address)
{
    return static_cast<std::uint32_t>(hash64(address.ip, address.port));
}

CacheContents::CacheContents(CacheStore store)
    : m_store(std::move(store))
    , m_number(storeNumber(m_store.address))
{
}

void CacheContents::add(const CacheChange& change)
{
    const auto key = keyOf(change.name.scope, change.partId);
    m_saves.erase(key);
    const auto [it, isNew] = m_parts.insert_or_assign(key, Part { change.name, change.tokens });
    if (isNew)
        m_tokens += change.tokens;
}

void CacheContents::remove(std::uint64_t key)
{
    const auto it = m_parts.find(key);
    if (it == m_parts.end())
        return;
    m_tokens -= it->second.tokens;
    m_parts.erase(it);
}

void CacheContents::replaceAll(const std::vector<CacheChange>& parts, std::uint64_t epoch, TimePoint now)
{
    clear();
    m_listedAt = now;
    m_epoch = epoch;
    m_isKnown = true;
    for (const auto& part : parts)
        add(part);
}

bool CacheContents::apply(const std::vector<CacheChange>& changes, std::uint64_t epoch)
{
    if (!m_isKnown || epoch != m_epoch) {
        clear();
        return false;
    }
    for (const auto& change : changes) {
        if (change.isStored)
            add(change);
        else
            remove(keyOf(change.name.scope, change.partId));
    }
    return true;
}

void CacheContents::recordFetch(double ms, TimePoint now)
{
    m_linkBusyUntil = std::max(m_linkBusyUntil, now) + std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double, std::milli>(ms));
}

double CacheContents::queueMs(TimePoint now) const
{
    return std::max(toMilliseconds(m_linkBusyUntil - now), 0.0);
}

void CacheContents::clear()
{
    m_parts.clear();
    m_saves.clear();
    m_tokens = 0;
    m_isKnown = false;
}

bool CacheContents::contains(const CacheScope& scope, std::uint64_t part) const
{
    return m_parts.contains(keyOf(scope.text(), part));
}

bool CacheContents::maySave(const CacheScope& scope, std::uint64_t part, std::int64_t tokens, TimePoint now) const
{
    const auto key = keyOf(scope.text(), part);
    if (!m_isKnown || now - m_listedAt < restartSettleTime || m_parts.contains(key))
        return false;
    if (isSaving(scope, part, now))
        return false;
    return static_cast<double>(usedTokens(now) + tokens) <= static_cast<double>(m_store.memoryTokens) * usableShare;
}

bool CacheContents::isSaving(const CacheScope& scope, std::uint64_t part, TimePoint now) const
{
    const auto it = m_saves.find(keyOf(scope.text(), part));
    return it != m_saves.end() && now - it->second.at < saveTimeout;
}

void CacheContents::recordSave(const CacheScope& scope, std::uint64_t part, std::int64_t tokens, TimePoint now)
{
    m_saves.insert_or_assign(keyOf(scope.text(), part), Save { now, tokens });
}

std::int64_t CacheContents::usedTokens(TimePoint now) const
{
    std::erase_if(m_saves, [&](const auto& entry) { return now - entry.second.at >= saveTimeout; });
    auto tokens = m_tokens;
    for (const auto& [key, save] : m_saves)
        tokens += save.tokens;
    return tokens;
}

void CacheContents::removePart(const CachedPartName& name)
{
    const auto it = std::find_if(m_parts.begin(), m_parts.end(), [&](const auto& entry) { return entry.second.name == name; });
    if (it != m_parts.end())
        remove(it->first);
}

}

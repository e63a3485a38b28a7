#include "chiveshelf/placement/PartCacheModel.h"

namespace chiveshelf {

namespace {

    // Odd 64-bit constant of the golden ratio (Fibonacci hashing), which spreads a scope over all bits of the key.
    constexpr std::uint64_t scopeMultiplier = 0x9e3779b97f4a7c15;

    std::uint64_t entryKey(std::uint64_t part, std::uint64_t scope)
    {
        return part ^ (scope * scopeMultiplier);
    }

}

std::int64_t PartCacheModel::cachedTokens(const std::vector<PromptPart>& parts, std::uint64_t scope) const
{
    std::int64_t tokens = 0;
    for (const auto& part : parts) {
        if (!m_index.contains(entryKey(part.id, scope)))
            break;
        tokens += part.tokens;
    }
    return tokens;
}

bool PartCacheModel::contains(const PromptPart& part, std::uint64_t scope) const
{
    return m_index.contains(entryKey(part.id, scope));
}

void PartCacheModel::touch(const PromptPart& part, std::uint64_t scope)
{
    const auto key = entryKey(part.id, scope);
    const auto it = m_index.find(key);
    if (it != m_index.end()) {
        m_entries.splice(m_entries.begin(), m_entries, it->second);
        return;
    }
    m_entries.push_front({ key, part.tokens });
    m_index.emplace(key, m_entries.begin());
    m_tokens += part.tokens;
    evictToCapacity();
}

void PartCacheModel::setCapacity(std::int64_t capacity)
{
    m_capacity = capacity;
    evictToCapacity();
}

void PartCacheModel::clear()
{
    m_entries.clear();
    m_index.clear();
    m_tokens = 0;
}

void PartCacheModel::evictToCapacity()
{
    while (m_tokens > m_capacity && !m_entries.empty()) {
        m_tokens -= m_entries.back().tokens;
        m_index.erase(m_entries.back().key);
        m_entries.pop_back();
    }
}

}

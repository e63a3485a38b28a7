#pragma once

#include "chiveshelf/routing/Prompt.h"

#include <list>
#include <unordered_map>

namespace chiveshelf {

// Model of a runner's cache of prompt parts: contains the parts that were placed there and evicts the least recently used ones.
//
// Handles the load pattern "prompts share long parts and are sent again after the runner has served other prompts".
class PartCacheModel {
public:
    // `capacity` is in tokens. With 0 nothing is kept.
    explicit PartCacheModel(std::int64_t capacity)
        : m_capacity(capacity)
    {
    }

    // Returns the number of tokens in the longest cached prefix of `parts` under `scope`.
    std::int64_t cachedTokens(const std::vector<PromptPart>& parts, std::uint64_t scope) const;

    // Returns whether the part is cached under `scope`, regardless of the parts before it.
    bool contains(const PromptPart&, std::uint64_t scope) const;

    // Adds a part under `scope`, or marks it as the most recently used one.
    void touch(const PromptPart&, std::uint64_t scope);

    // Changes the capacity, in tokens, and evicts parts beyond it.
    void setCapacity(std::int64_t capacity);

    // Removes all parts, as loading new weights does.
    void clear();

    std::int64_t tokens() const { return m_tokens; }

private:
    struct Entry {
        std::uint64_t key;
        std::int64_t tokens;
    };

    void evictToCapacity();

    std::int64_t m_capacity;
    std::int64_t m_tokens = 0;
    // Most recently used first.
    std::list<Entry> m_entries;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_index;
};

}

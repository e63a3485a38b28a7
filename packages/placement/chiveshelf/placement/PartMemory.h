#pragma once

#include "chiveshelf/routing/Prompt.h"

#include <list>
#include <unordered_map>

namespace chiveshelf {

// Believed contents of a runner's cache of prompt parts: what was placed there, least recently used parts dropped first.
//
// Answers the load pattern "prompts share long parts and return after other prompts have passed through".
class PartMemory {
public:
    // `capacity` is in tokens; 0 keeps nothing.
    explicit PartMemory(std::int64_t capacity)
        : m_capacity(capacity)
    {
    }

    // Returns the tokens of the leading parts of `parts` that are cached under `scope`.
    std::int64_t cachedTokens(const std::vector<PromptPart>& parts, std::uint64_t scope) const;

    // Whether a part is cached under `scope`, whatever stands before it.
    bool contains(const PromptPart&, std::uint64_t scope) const;

    // Records that a part was read under `scope`, or used again.
    void touch(const PromptPart&, std::uint64_t scope);

    // Changes the bound, which shrinks while running requests take more of the memory.
    void setCapacity(std::int64_t capacity);

    // Forgets everything, as a load of new weights does.
    void clear();

    std::int64_t tokens() const { return m_tokens; }

private:
    struct Entry {
        std::uint64_t key;
        std::int64_t tokens;
    };

    void shrink();

    std::int64_t m_capacity;
    std::int64_t m_tokens = 0;
    // Most recently used first.
    std::list<Entry> m_entries;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_index;
};

}

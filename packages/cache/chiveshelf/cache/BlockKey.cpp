#include "chiveshelf/cache/BlockKey.h"

#include "chiveshelf/core/Hash.h"

#include <cassert>

namespace chiveshelf {

namespace {

    // Each field is prefixed with its length, so that "ab" + "c" and "a" + "bc" give different results.
    void appendField(std::string& out, std::string_view field)
    {
        out += std::to_string(field.size());
        out += ':';
        out += field;
    }

}

std::vector<std::string> computeBlockKeys(const BlockIdentity& identity, std::string_view prompt, std::size_t blockBytes)
{
    assert(blockBytes > 0);
    std::string chained;
    for (const auto& field : { identity.organisation, identity.model, identity.adapter, identity.version })
        appendField(chained, field);
    auto previous = toHex(hash128(chained));
    std::vector<std::string> keys;
    keys.reserve(prompt.size() / blockBytes);
    for (std::size_t offset = 0; offset + blockBytes <= prompt.size(); offset += blockBytes) {
        chained = previous;
        chained += prompt.substr(offset, blockBytes);
        previous = toHex(hash128(chained));
        keys.push_back(previous);
    }
    return keys;
}

}

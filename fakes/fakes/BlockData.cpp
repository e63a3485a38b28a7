#include "fakes/BlockData.h"

#include "chiveshelf/core/Hash.h"

#include <nlohmann/json.hpp>

namespace fakes {

std::string makeBlockData(const std::string& key, const BlockOwner& owner, std::size_t bytes)
{
    const nlohmann::json header { { "key", key }, { "organisation", owner.organisation }, { "model", owner.model },
        { "adapter", owner.adapter }, { "version", owner.version }, { "bytes", bytes } };
    auto data = header.dump() + "\n";
    data.resize(std::max(bytes, data.size() + 1), 'k');
    data.back() = '.';
    return data;
}

std::optional<BlockOwner> readBlockData(const std::string& key, const std::string& data)
{
    const auto end = data.find('\n');
    const auto header = nlohmann::json::parse(data.substr(0, end), nullptr, false);
    if (end == std::string::npos || !header.is_object() || header.value("key", "") != key)
        return std::nullopt;
    if (data.size() != std::max(header.value("bytes", std::size_t { 0 }), end + 2) || data.back() != '.')
        return std::nullopt;
    return BlockOwner { header.value("organisation", ""), header.value("model", ""), header.value("adapter", ""), header.value("version", "") };
}

std::string blockChecksum(const std::string& key, const std::string& data)
{
    return std::to_string(chiveshelf::hash64(data, chiveshelf::hash64(key)));
}

}

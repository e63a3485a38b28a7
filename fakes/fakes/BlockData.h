#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace fakes {

// Organisation, model, adapter and weight version for which a block was computed. The data of a fake block contains its owner,
// so that a fake runner can check the data that it imports.
struct BlockOwner {
    std::string organisation;
    std::string model;
    std::string adapter;
    std::string version;

    auto operator<=>(const BlockOwner&) const = default;
};

// Returns block data of `bytes` bytes, or of more if the header with the key and the owner is longer.
std::string makeBlockData(const std::string& key, const BlockOwner&, std::size_t bytes);

// Returns the owner, or nothing if the data is incomplete or belongs to another block than `key`.
std::optional<BlockOwner> readBlockData(const std::string& key, const std::string& data);

// Returns a checksum over key and data, so that the data of another block does not match.
std::string blockChecksum(const std::string& key, const std::string& data);

}

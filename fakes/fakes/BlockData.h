#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace fakes {

// Whose prompt a block was computed from. The data of a fake block says so, so that a runner can check what it reads.
struct BlockOwner {
    std::string organisation;
    std::string model;
    std::string adapter;
    std::string version;

    auto operator<=>(const BlockOwner&) const = default;
};

// Returns the data of a block with `bytes` bytes, or more if the owner's text needs more.
std::string makeBlockData(const std::string& key, const BlockOwner&, std::size_t bytes);

// Returns the owner if the data is that of the whole block `key`, else nothing.
std::optional<BlockOwner> readBlockData(const std::string& key, const std::string& data);

// Checksum over key and data, so that the data of one block never passes for another.
std::string blockChecksum(const std::string& key, const std::string& data);

}

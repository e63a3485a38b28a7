#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace chiveshelf {

// A 128-bit hash value.
struct Hash128 {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const Hash128&) const = default;
};

// Returns the 64-bit xxh3 hash of `text`.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

// Returns the 128-bit xxh3 hash of `text`.
Hash128 hash128(std::string_view text);

// Returns the hash as 32 hexadecimal digits.
std::string toHex(const Hash128& hash);

// Returns a random identifier of 32 hexadecimal digits, unique across processes.
std::string makeUniqueId();

}

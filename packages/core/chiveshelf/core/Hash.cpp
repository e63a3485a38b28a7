#include "chiveshelf/core/Hash.h"

#include <cstdio>
#include <random>

#include <xxhash.h>

namespace chiveshelf {

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

Hash128 hash128(std::string_view text)
{
    const auto value = XXH3_128bits(text.data(), text.size());
    return { value.high64, value.low64 };
}

std::string toHex(const Hash128& hash)
{
    char buf[33];
    std::snprintf(buf, sizeof(buf), "%016llx%016llx", static_cast<unsigned long long>(hash.high),
        static_cast<unsigned long long>(hash.low));
    return buf;
}

std::string makeUniqueId()
{
    static std::mt19937_64 engine { [] {
        std::random_device device;
        std::seed_seq seed { device(), device(), device(), device() };
        return std::mt19937_64(seed);
    }() };
    const auto high = engine();
    return toHex({ high, engine() });
}

}

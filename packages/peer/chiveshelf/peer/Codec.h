#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <optional>
#include <sstream>
#include <string>

// cereal allocates the number of elements that a message claims before it reads them, so that a short corrupt message could
// exhaust the memory. These more specialised overloads replace cereal's own and grow the container as elements are read.
namespace cereal {

template <typename Element, typename Allocator>
void CEREAL_LOAD_FUNCTION_NAME(PortableBinaryInputArchive& archive, std::vector<Element, Allocator>& out)
{
    size_type n = 0;
    archive(make_size_tag(n));
    out.clear();
    for (size_type i = 0; i < n; ++i) {
        out.emplace_back();
        archive(out.back());
    }
}

template <typename Traits, typename Allocator>
void CEREAL_LOAD_FUNCTION_NAME(PortableBinaryInputArchive& archive, std::basic_string<char, Traits, Allocator>& out)
{
    constexpr size_type chunkBytes = 64 * 1024;
    size_type left = 0;
    archive(make_size_tag(left));
    out.clear();
    while (left > 0) {
        const auto n = std::min(left, chunkBytes);
        const auto begin = out.size();
        out.resize(begin + n);
        archive(binary_data(out.data() + begin, n));
        left -= n;
    }
}

}

namespace chiveshelf::peer {

// Encodes a message for transmission.
template <typename Message>
std::string encode(const Message& message)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(message);
    }
    return std::move(out).str();
}

// Decodes a message. Returns nullopt if the bytes are not a valid message.
template <typename Message>
std::optional<Message> decode(const std::string& bytes)
{
    try {
        std::istringstream in(bytes);
        cereal::PortableBinaryInputArchive archive(in);
        Message message;
        archive(message);
        return message;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

}

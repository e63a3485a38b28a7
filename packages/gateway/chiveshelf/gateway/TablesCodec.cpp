#include "chiveshelf/gateway/TablesCodec.h"

#include "chiveshelf/peer/Codec.h"
#include "chiveshelf/routing/TableFields.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>
#include <cereal/types/chrono.hpp>

#include <limits>

namespace chiveshelf {

namespace zlib = boost::beast::zlib;

namespace {

    // Rows repeat names and limits, so that the fastest level already shortens them to a tenth or less.
    constexpr int compressionLevel = 1;
    constexpr int windowBits = 15;
    constexpr int memoryLevel = 8;
    // The output grows in steps of this.
    constexpr std::size_t bufferBytes = 32 * 1024;

    // Passes all of the input through a stream. Returns nothing if the input is invalid or the output longer than `maxBytes`.
    template <typename Stream>
    std::optional<std::string> transform(Stream& stream, const std::string& in, std::size_t maxBytes)
    {
        std::string out;
        std::string buf(bufferBytes, '\0');
        zlib::z_params params;
        params.next_in = in.data();
        params.avail_in = in.size();
        while (out.size() <= maxBytes) {
            params.next_out = buf.data();
            params.avail_out = buf.size();
            boost::beast::error_code ec;
            stream.write(params, zlib::Flush::sync, ec);
            // Input or output that has come to its end is no failure.
            if (ec && ec != zlib::error::need_buffers && ec != zlib::error::end_of_stream)
                return std::nullopt;
            out.append(buf, 0, buf.size() - params.avail_out);
            const bool isDone = params.avail_in == 0 && params.avail_out > 0;
            if (isDone)
                return out.size() <= maxBytes ? std::optional(std::move(out)) : std::nullopt;
            // Bytes after the end of the stream.
            if (params.avail_out == buf.size())
                return std::nullopt;
        }
        return std::nullopt;
    }

}

std::string encodeTablesUpdate(const TablesUpdate& update)
{
    zlib::deflate_stream stream;
    stream.reset(compressionLevel, windowBits, memoryLevel, zlib::Strategy::normal);
    auto out = transform(stream, peer::encode(update), std::numeric_limits<std::size_t>::max());
    return out ? std::move(*out) : std::string();
}

std::optional<TablesUpdate> decodeTablesUpdate(const std::string& bytes)
{
    zlib::inflate_stream stream;
    stream.reset(windowBits);
    const auto encoded = transform(stream, bytes, maxTablesUpdateBytes);
    return encoded ? peer::decode<TablesUpdate>(*encoded) : std::nullopt;
}

}

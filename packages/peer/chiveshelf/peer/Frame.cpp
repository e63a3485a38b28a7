#include "chiveshelf/peer/Frame.h"

#include "chiveshelf/peer/Codec.h"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/endian/conversion.hpp>

#include <array>
#include <cstring>

namespace chiveshelf::peer {

namespace {

    // Sizes in bytes of the header fields version, kind, type, correlation and payload length.
    constexpr std::size_t headerBytes = 1 + 1 + 2 + 8 + 4;

    struct ErrorMessage {
        std::int32_t code = 0;
        std::int32_t verdict = 0;
        std::string message;
        std::int64_t retryAfterMs = -1;

        template <typename Archive>
        void serialize(Archive& archive)
        {
            archive(code, verdict, message, retryAfterMs);
        }
    };

}

std::string serializeFrame(const Frame& frame)
{
    std::array<unsigned char, headerBytes> header {};
    header[0] = protocolVersion;
    header[1] = static_cast<unsigned char>(frame.kind);
    boost::endian::store_little_u16(&header[2], static_cast<std::uint16_t>(frame.type));
    boost::endian::store_little_u64(&header[4], frame.correlation);
    boost::endian::store_little_u32(&header[12], static_cast<std::uint32_t>(frame.payload.size()));
    std::string out(reinterpret_cast<const char*>(header.data()), header.size());
    return out + frame.payload;
}

boost::asio::awaitable<Result<Frame>> readFrame(boost::asio::ip::tcp::socket& socket)
{
    using boost::asio::redirect_error;
    using boost::asio::use_awaitable;
    std::array<unsigned char, headerBytes> header {};
    boost::system::error_code ec;
    co_await boost::asio::async_read(socket, boost::asio::buffer(header), redirect_error(use_awaitable, ec));
    if (ec)
        co_return failure(ErrorCode::Unavailable, ec.message(), Verdict::MayHaveRun);
    if (header[0] != protocolVersion)
        co_return failure(ErrorCode::InvalidRequest, "unknown protocol version", Verdict::NotRun);
    Frame frame;
    frame.kind = static_cast<FrameKind>(header[1]);
    frame.type = static_cast<MessageType>(boost::endian::load_little_u16(&header[2]));
    frame.correlation = boost::endian::load_little_u64(&header[4]);
    const auto length = boost::endian::load_little_u32(&header[12]);
    if (length > maxPayloadBytes)
        co_return failure(ErrorCode::InvalidRequest, "frame payload is too long", Verdict::NotRun);
    frame.payload.resize(length);
    co_await boost::asio::async_read(socket, boost::asio::buffer(frame.payload), redirect_error(use_awaitable, ec));
    if (ec)
        co_return failure(ErrorCode::Unavailable, ec.message(), Verdict::MayHaveRun);
    co_return frame;
}

std::string encodeError(const Error& error)
{
    ErrorMessage message;
    message.code = static_cast<std::int32_t>(error.code);
    message.verdict = static_cast<std::int32_t>(error.verdict);
    message.message = error.message;
    message.retryAfterMs = error.retryAfter ? error.retryAfter->count() : -1;
    return encode(message);
}

Error decodeError(const std::string& bytes)
{
    const auto message = decode<ErrorMessage>(bytes);
    const bool isKnown = message && message->code >= 0 && message->code <= static_cast<std::int32_t>(ErrorCode::Internal)
        && message->verdict >= 0 && message->verdict <= static_cast<std::int32_t>(Verdict::Ran);
    if (!isKnown)
        return { ErrorCode::Internal, "malformed error from peer", Verdict::MayHaveRun, std::nullopt };
    Error error { static_cast<ErrorCode>(message->code), message->message, static_cast<Verdict>(message->verdict), std::nullopt };
    if (message->retryAfterMs >= 0)
        error.retryAfter = std::chrono::milliseconds(message->retryAfterMs);
    return error;
}

}

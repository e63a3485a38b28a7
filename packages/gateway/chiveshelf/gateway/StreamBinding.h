#pragma once

#include "chiveshelf/gateway/HostExchange.h"

#include <optional>

namespace chiveshelf {

// Binds a resumable stream to the software that began it. What two software versions write doesn't fit together, so that a stream that
// breaks off may only go on at a runner of the version that wrote its first event, whichever host and request resumes it.
//
// A new stream is free until its first event is forwarded. A resumed one is bound once its origin is found; if that fails it can't go
// on, unless only one version can have begun it.
class StreamBinding {
public:
    // How the origin of a resumed stream is known.
    enum class Origin {
        // This host or another one has its record.
        Recorded,
        // Only one version has served for as long as a stream can last.
        OnlyVersion,
        Unknown,
    };

    // `fingerprint` identifies the request but for its id, and `firstAttemptId` the attempt that received the first event: the request's
    // own id for a new stream.
    StreamBinding(ServingState&, HostExchange&, std::string pool, const std::string& fingerprint, const std::string& firstAttemptId);

    // Finds out which software began the stream, and binds it to that.
    boost::asio::awaitable<Origin> resume();

    bool isBound() const { return m_software.has_value(); }

    // Records that events of a runner are about to be forwarded, and binds the stream if these are its first ones.
    void onEvents(const BackendState&);

    // Records that a runner has sent data of the stream. If its entry has been replaced by one of a later start meanwhile, the runner
    // that began the stream wasn't the one that it was taken for, and the stream's origin becomes unknown.
    void onData(const BackendState&);

    // Returns the runners at which the bound stream may go on.
    BackendDirectory::RunnerList candidates() const;

private:
    bool mayBeMixed() const;
    void recordOrigin(SoftwareId);

    ServingState& m_state;
    HostExchange& m_exchange;
    std::string m_pool;
    // StreamOrigin::stream, or nothing if callers can't name the stream.
    std::optional<std::uint64_t> m_stream;
    // StreamOrigins::disputed if the origin has become unknown.
    std::optional<SoftwareId> m_software;
    bool m_hasEvents = false;
};

// Returns the name of an origin for logs and metrics.
std::string_view streamOriginName(StreamBinding::Origin);

}

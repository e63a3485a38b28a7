#include "chiveshelf/gateway/StreamBinding.h"

#include "chiveshelf/core/Hash.h"

namespace chiveshelf {

namespace asio = boost::asio;

StreamBinding::StreamBinding(ServingState& state, HostExchange& exchange, std::string pool, const std::string& fingerprint, const std::string& firstAttemptId)
    : m_state(state)
    , m_exchange(exchange)
    , m_pool(std::move(pool))
{
    if (!firstAttemptId.empty())
        m_stream = hash64(firstAttemptId, hash64(fingerprint));
}

asio::awaitable<StreamBinding::Origin> StreamBinding::resume()
{
    const auto finding = co_await m_exchange.origins().find(m_stream.value_or(0), m_pool);
    if (finding.record) {
        if (finding.record->software == StreamOrigins::disputed)
            co_return Origin::Unknown;
        m_software = finding.record->software;
        co_return Origin::Recorded;
    }
    // This host may have missed the news of another version, and so may the few that share its part of a divided fleet.
    const auto only = m_state.onlySoftwareVersion(m_pool);
    if (!only || finding.isMixed || !finding.isMajority())
        co_return Origin::Unknown;
    m_software = softwareOf(m_pool, *only);
    co_return Origin::OnlyVersion;
}

bool StreamBinding::mayBeMixed() const
{
    return !m_state.onlySoftwareVersion(m_pool);
}

void StreamBinding::recordOrigin(SoftwareId software)
{
    m_software = software;
    if (m_stream)
        m_exchange.origins().record(StreamOrigin { *m_stream, software }, mayBeMixed(), std::chrono::steady_clock::now());
}

void StreamBinding::onEvents(const BackendState& runner)
{
    if (std::exchange(m_hasEvents, true))
        return;
    recordOrigin(m_software.value_or(softwareOf(runner.record())));
}

void StreamBinding::onData(const BackendState& runner)
{
    if (runner.isSuperseded() && m_hasEvents && m_software != StreamOrigins::disputed)
        recordOrigin(StreamOrigins::disputed);
}

BackendDirectory::RunnerList StreamBinding::candidates() const
{
    BackendDirectory::RunnerList out;
    for (const auto& runner : m_state.backendDirectory().runnersOf(m_pool)) {
        if (m_software == softwareOf(runner->record()))
            out.push_back(runner);
    }
    return out;
}

std::string_view streamOriginName(StreamBinding::Origin origin)
{
    switch (origin) {
    case StreamBinding::Origin::Recorded:
        return "recorded";
    case StreamBinding::Origin::OnlyVersion:
        return "only_version";
    case StreamBinding::Origin::Unknown:
        break;
    }
    return "unknown";
}

}

#include "chiveshelf/gateway/OriginExchange.h"

#include "chiveshelf/core/Tasks.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    // Records are collected for this time, so that several share a datagram. Streams that begin in it are lost with their host. While
    // one version serves, a stream can be taken up without its record unless another version joins before the stream has ended.
    constexpr std::chrono::milliseconds flushDelay { 20 };
    constexpr std::chrono::milliseconds soleVersionFlushDelay { 100 };
    // Entries per datagram, so that a datagram fits into one Ethernet frame.
    constexpr std::size_t originsPerNotice = 64;
    // Hosts answer within a few ms, also those of other data centres, and a lost host never answers. The datagrams of a host that has just
    // woken are lost until it has emptied its queue, so that the question is repeated.
    constexpr std::chrono::milliseconds searchCheckInterval { 5 };
    constexpr int searchSteps = 60;
    constexpr int stepsPerQuestion = 10;

}

OriginExchange::OriginExchange(asio::io_context& context, StreamOrigins& origins, Port port)
    : m_context(context)
    , m_origins(origins)
    , m_port(std::move(port))
{
}

asio::awaitable<void> OriginExchange::sleep(std::chrono::milliseconds duration)
{
    asio::steady_timer timer(m_context, duration);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

void OriginExchange::record(StreamOrigin origin, bool mayBeMixed, TimePoint now)
{
    const auto news = m_origins.record(origin, now);
    const auto known = m_origins.recordOf(origin.stream, now);
    if (!known)
        return;
    // Others would trust their record until they hear of the dispute. It is sent again with the next records in case it is lost.
    if (news && news->software == StreamOrigins::disputed) {
        for (const auto& holder : m_port.holders(origin.stream))
            m_port.sendNotice(holder, OriginNotice { { { news->stream, news->software } } });
    }
    enqueue(*known, mayBeMixed ? flushDelay : soleVersionFlushDelay);
}

void OriginExchange::enqueue(const StreamOrigin& origin, std::chrono::milliseconds delay)
{
    for (const auto& holder : m_port.holders(origin.stream))
        m_pending[holder].push_back(origin);
    const auto flushAt = std::chrono::steady_clock::now() + delay;
    if (m_flushAt && *m_flushAt <= flushAt)
        return;
    m_flushAt = flushAt;
    spawnTask(m_context, "origin_exchange.flush", flush(delay));
}

asio::awaitable<void> OriginExchange::flush(std::chrono::milliseconds delay)
{
    co_await sleep(delay);
    m_flushAt.reset();
    for (const auto& [holder, origins] : std::exchange(m_pending, {})) {
        for (std::size_t i = 0; i < origins.size(); i += originsPerNotice) {
            OriginNotice notice;
            for (std::size_t j = i; j < std::min(i + originsPerNotice, origins.size()); ++j)
                notice.entries.push_back({ origins[j].stream, origins[j].software });
            m_port.sendNotice(holder, notice);
        }
    }
}

asio::awaitable<OriginExchange::Finding> OriginExchange::find(std::uint64_t stream, std::string pool)
{
    Finding out;
    out.record = m_origins.recordOf(stream, std::chrono::steady_clock::now());
    if (out.record)
        co_return out;
    const auto holders = m_port.holders(stream);
    auto& slot = m_searches[stream];
    if (!slot)
        slot = std::make_shared<Search>();
    const auto search = slot;
    const OriginQuery query { stream, std::move(pool) };
    for (int step = 0; !search->isFound && search->answered.size() < holders.size() && step < searchSteps; ++step) {
        for (const auto& holder : holders) {
            if (step % stepsPerQuestion == 0 && !search->answered.contains(holder))
                m_port.sendQuery(holder, query);
        }
        co_await sleep(searchCheckInterval);
    }
    m_searches.erase(stream);
    out.record = m_origins.recordOf(stream, std::chrono::steady_clock::now());
    out.isMixed = search->isMixed;
    out.asked = holders.size();
    out.answers = search->answered.size();
    co_return out;
}

void OriginExchange::onNotice(const OriginNotice& notice, TimePoint now)
{
    for (const auto& entry : notice.entries)
        m_origins.record({ entry.stream, entry.software }, now);
}

void OriginExchange::onQuery(const Address& from, const OriginQuery& query, TimePoint now)
{
    const auto known = m_origins.recordOf(query.stream, now);
    m_port.sendAnswer(from, OriginAnswer { query.stream, known.has_value(), known ? known->software : 0, m_port.isMixed(query.pool) });
}

void OriginExchange::onAnswer(const Address& from, const OriginAnswer& answer, TimePoint now)
{
    if (answer.isKnown)
        m_origins.record({ answer.stream, answer.software }, now);
    const auto it = m_searches.find(answer.stream);
    if (it == m_searches.end())
        return;
    auto& search = *it->second;
    search.answered.insert(from);
    search.isFound = search.isFound || answer.isKnown;
    search.isMixed = search.isMixed || answer.isMixed;
}

}

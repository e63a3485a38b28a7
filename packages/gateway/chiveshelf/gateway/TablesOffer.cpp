#include "chiveshelf/gateway/TablesOffer.h"

#include "chiveshelf/core/Hash.h"
#include "chiveshelf/gateway/TablesCodec.h"

#include <algorithm>

namespace chiveshelf {

namespace {

    TablesOffer::Answer refusal(TablesPiece::Kind kind, std::uint64_t version, std::chrono::milliseconds retry)
    {
        TablesOffer::Answer out;
        out.piece.kind = kind;
        out.piece.version = version;
        out.piece.retryMs = static_cast<std::uint32_t>(retry.count());
        return out;
    }

}

TablesOffer::TablesOffer(double linkMbps, std::function<double()> random)
    : m_pace(linkMbps)
    , m_slots(linkMbps)
    , m_random(std::move(random))
{
}

TablesOffer::Answer TablesOffer::answer(const PullTablesPiece& request, const TablesHistory& history, TimePoint now)
{
    const auto newest = history.newest();
    if (newest < request.wantedVersion || newest == 0)
        return refusal(TablesPiece::Kind::Behind, newest, applyTime);
    if (!history.find(request.baseVersion))
        return refusal(TablesPiece::Kind::UnknownBase, newest, std::chrono::milliseconds(0));
    if (m_pace.backlog(now) > maxBacklog || !m_slots.admit(request.ip, now))
        return busy(request, newest, now);
    const bool canContinue = request.version > request.baseVersion && history.find(request.version);
    const auto& update = encoded(request.baseVersion, canContinue ? request.version : newest, history);
    const auto offset = canContinue && request.offset < update.bytes.size() ? static_cast<std::size_t>(request.offset) : 0;
    Answer out;
    out.piece.baseVersion = update.baseVersion;
    out.piece.version = update.version;
    out.piece.totalBytes = update.bytes.size();
    out.piece.checksum = update.checksum;
    out.piece.offset = offset;
    out.piece.bytes = update.bytes.substr(offset, pieceBytes);
    out.delay = m_pace.reserve(out.piece.bytes.size(), now);
    ++m_counts.pieces;
    m_counts.bytes += out.piece.bytes.size();
    if (offset + out.piece.bytes.size() == update.bytes.size()) {
        m_slots.release(request.ip);
        std::erase_if(m_holders, [&](const auto& holder) { return holder.ip == request.ip; });
        m_holders.push_back({ request.ip, update.version });
        if (m_holders.size() > maxHolders)
            m_holders.pop_front();
    }
    return out;
}

TablesOffer::Answer TablesOffer::busy(const PullTablesPiece& request, std::uint64_t version, TimePoint now)
{
    ++m_counts.busy;
    // The time until a slot is likely to be free, spread so that the waiting hosts don't all ask at once.
    const auto wait = std::clamp(m_pace.backlog(now) + minRetry, minRetry, maxRetry);
    auto out = refusal(TablesPiece::Kind::Busy, version, std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(wait.count()) * (1 + m_random()))));
    for (const auto& holder : m_holders) {
        if (holder.version == version && holder.ip != request.ip)
            out.piece.holders.push_back(holder.ip);
    }
    return out;
}

const TablesOffer::Encoded& TablesOffer::encoded(std::uint64_t baseVersion, std::uint64_t version, const TablesHistory& history)
{
    const auto it = std::find_if(m_updates.begin(), m_updates.end(), [&](const auto& update) { return update.baseVersion == baseVersion && update.version == version; });
    if (it != m_updates.end())
        return *it;
    auto bytes = encodeTablesUpdate(makeTablesUpdate(*history.find(baseVersion), *history.find(version)));
    const auto checksum = hash64(bytes);
    m_updates.push_back({ baseVersion, version, checksum, std::move(bytes) });
    if (m_updates.size() > maxUpdates)
        m_updates.pop_front();
    return m_updates.back();
}

}

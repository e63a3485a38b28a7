#include "chiveshelf/gateway/TablesFetch.h"

#include "chiveshelf/core/Hash.h"
#include "chiveshelf/core/Log.h"

#include <algorithm>

namespace chiveshelf {

void TablesFetch::onNews(const std::string& ip, std::uint64_t version, std::uint64_t current, TimePoint startAt, TimePoint now)
{
    if (version <= current)
        return;
    dropOld(current, now);
    addSource(ip, version);
    if (version > m_newestVersion) {
        m_newestVersion = version;
        m_newestNewsAt = now;
    }
    if (std::exchange(m_isActive, true)) {
        m_startAt = std::min(m_startAt, startAt);
        return;
    }
    m_newsAt = now;
    m_startAt = startAt;
    m_progressAt = startAt;
    m_storeNotBefore = startAt;
    m_storeDelay = minStoreDelay;
    m_wantsWhole = false;
}

void TablesFetch::addSource(const std::string& ip, std::uint64_t version)
{
    const auto it = m_sources.find(ip);
    if (it == m_sources.end() && m_sources.size() >= maxSources)
        return;
    auto& source = m_sources[ip];
    // A host learns of the versions between as well as of the newer one.
    if (source.version < version)
        source.hasBase = true;
    source.version = std::max(source.version, version);
}

void TablesFetch::dropOld(std::uint64_t current, TimePoint now)
{
    std::erase_if(m_sources, [&](const auto& entry) { return entry.second.version <= current; });
    if (m_partial && (m_partial->version <= current || (m_partial->baseVersion != 0 && m_partial->baseVersion != current)))
        m_partial.reset();
    if (m_baseVersion != current) {
        m_baseVersion = current;
        m_wantsWhole = false;
        m_newsAt = m_newestNewsAt;
        m_progressAt = now;
        for (auto& [ip, source] : m_sources)
            source.hasBase = true;
    }
    if (m_sources.empty())
        m_isActive = false;
}

std::map<std::string, TablesFetch::Source>::const_iterator TablesFetch::chooseSource(TimePoint now) const
{
    const auto isReady = [&](const Source& source) { return source.notBefore <= now && (source.hasBase || m_wantsWhole); };
    const auto last = m_sources.find(m_lastIp);
    if (m_partial && last != m_sources.end() && isReady(last->second))
        return last;
    auto out = m_sources.end();
    double outRank = 0;
    for (auto it = m_sources.begin(); it != m_sources.end(); ++it) {
        // Hosts of the same version are asked in a random order, so that they share the work.
        const auto rank = m_random();
        const bool isBetter = out == m_sources.end() || it->second.version > out->second.version || (it->second.version == out->second.version && rank > outRank);
        if (!isReady(it->second) || !isBetter)
            continue;
        out = it;
        outRank = rank;
    }
    return out;
}

TablesFetch::Step TablesFetch::next(std::uint64_t current, TimePoint now)
{
    dropOld(current, now);
    if (!m_isActive)
        return Idle {};
    if (now < m_startAt)
        return Wait { m_startAt };
    const bool isStuck = now - m_progressAt >= maxPause || now - m_newsAt >= maxDuration;
    if (isStuck && now >= m_storeNotBefore)
        return ReadStore {};
    if (current == 0 || std::none_of(m_sources.begin(), m_sources.end(), [](const auto& entry) { return entry.second.hasBase; }))
        m_wantsWhole = true;
    const auto it = chooseSource(now);
    if (it == m_sources.end()) {
        auto until = std::max(m_storeNotBefore, std::min(m_progressAt + maxPause, m_newsAt + maxDuration));
        for (const auto& [ip, source] : m_sources) {
            if (source.hasBase || m_wantsWhole)
                until = std::min(until, source.notBefore);
        }
        return Wait { until };
    }
    m_lastIp = it->first;
    PullTablesPiece request;
    request.baseVersion = m_wantsWhole ? 0 : current;
    request.wantedVersion = current + 1;
    if (m_partial && m_partial->baseVersion == request.baseVersion) {
        request.version = m_partial->version;
        request.offset = m_partial->bytes.size();
    }
    return Ask { it->first, std::move(request) };
}

std::optional<TablesFetch::Update> TablesFetch::onPiece(const std::string& ip, const TablesPiece& piece, TimePoint now)
{
    for (const auto& holder : piece.holders)
        addSource(holder, piece.version);
    const auto it = m_sources.find(ip);
    if (piece.kind == TablesPiece::Kind::Busy || piece.kind == TablesPiece::Kind::Behind) {
        if (it != m_sources.end())
            it->second.notBefore = now + std::chrono::milliseconds(piece.retryMs);
        return std::nullopt;
    }
    if (piece.kind == TablesPiece::Kind::UnknownBase) {
        if (it != m_sources.end())
            it->second.hasBase = false;
        return std::nullopt;
    }
    const bool continues = m_partial && m_partial->isOf(piece) && piece.offset == m_partial->bytes.size();
    if (!continues && piece.offset == 0)
        m_partial = Partial { piece.baseVersion, piece.version, piece.totalBytes, piece.checksum, {} };
    const bool isUsable = (continues || piece.offset == 0) && !piece.bytes.empty() && piece.totalBytes <= maxBytes && piece.offset <= piece.totalBytes
        && piece.bytes.size() <= piece.totalBytes - piece.offset;
    if (!isUsable) {
        logEvent(LogLevel::Warning, "tables_piece_refused", { { "peer", ip }, { "version", piece.version }, { "bytes", piece.totalBytes }, { "offset", piece.offset } });
        m_partial.reset();
        onFailure(ip, now);
        return std::nullopt;
    }
    m_partial->bytes += piece.bytes;
    m_progressAt = now;
    if (m_partial->bytes.size() < m_partial->totalBytes)
        return std::nullopt;
    Update out { m_partial->baseVersion, std::move(m_partial->bytes) };
    m_partial.reset();
    if (hash64(out.bytes) == piece.checksum)
        return out;
    logEvent(LogLevel::Warning, "tables_piece_refused", { { "peer", ip }, { "version", piece.version }, { "problem", "the bytes have another checksum" } });
    onFailure(ip, now);
    return std::nullopt;
}

void TablesFetch::onRejected()
{
    // Whole tables that can't be applied won't fit the next time either.
    if (std::exchange(m_wantsWhole, true))
        m_newsAt -= maxDuration;
}

void TablesFetch::onFailure(const std::string& ip, TimePoint now)
{
    const auto it = m_sources.find(ip);
    if (it != m_sources.end())
        it->second.notBefore = now + failureDelay;
}

void TablesFetch::onStoreRead(TimePoint now)
{
    m_storeNotBefore = now + m_storeDelay;
    m_storeDelay = std::min(m_storeDelay * 2, maxStoreDelay);
}

std::chrono::milliseconds TablesFetch::sinceNews(TimePoint now) const
{
    return m_isActive ? std::chrono::duration_cast<std::chrono::milliseconds>(now - m_newsAt) : std::chrono::milliseconds(0);
}

}

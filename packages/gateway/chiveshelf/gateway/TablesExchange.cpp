#include "chiveshelf/gateway/TablesExchange.h"

#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Tasks.h"
#include "chiveshelf/gateway/TablesCodec.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    TimePoint now()
    {
        return std::chrono::steady_clock::now();
    }

    std::chrono::milliseconds since(TimePoint start)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now() - start);
    }

}

TablesExchange::TablesExchange(asio::io_context& context, const GatewaySettings& settings, ServingState& state, Port port)
    : m_context(context)
    , m_settings(settings)
    , m_state(state)
    , m_port(std::move(port))
    , m_fetch([&state] { return state.random(); })
    , m_offer(settings.linkMbps, [&state] { return state.random(); })
    , m_receivePace(settings.linkMbps)
    , m_news(context)
{
}

void TablesExchange::start()
{
    spawnLoop(m_context, "tables_exchange.run", [this] { return run(); });
}

void TablesExchange::stop()
{
    m_isStopped = true;
    m_news.cancel();
}

void TablesExchange::onNews(const std::string& ip, std::uint64_t version, std::chrono::milliseconds delay)
{
    const auto time = now();
    m_fetch.onNews(ip, version, m_state.tablesVersion(), time + delay, time);
    if (version > m_state.tablesVersion())
        m_news.cancel();
}

std::chrono::milliseconds TablesExchange::sinceNews() const
{
    return m_fetch.sinceNews(now());
}

asio::awaitable<TablesPiece> TablesExchange::answer(PullTablesPiece request)
{
    auto answer = m_offer.answer(request, m_state.tablesHistory(), now());
    if (answer.delay.count() > 0)
        co_await sleepUntil(now() + answer.delay);
    co_return std::move(answer.piece);
}

asio::awaitable<void> TablesExchange::sleepUntil(TimePoint time)
{
    asio::steady_timer timer(m_context, time);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> TablesExchange::run()
{
    while (!m_isStopped) {
        if (co_await step())
            continue;
        boost::system::error_code ec;
        m_news.expires_at(TimePoint::max());
        co_await m_news.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

asio::awaitable<bool> TablesExchange::step()
{
    auto next = m_fetch.next(m_state.tablesVersion(), now());
    if (std::holds_alternative<TablesFetch::Idle>(next))
        co_return false;
    if (auto* request = std::get_if<TablesFetch::Ask>(&next)) {
        co_await ask(std::move(*request));
    } else if (std::holds_alternative<TablesFetch::ReadStore>(next)) {
        co_await m_port.readStore();
        m_fetch.onStoreRead(now());
    } else if (const auto* wait = std::get_if<TablesFetch::Wait>(&next)) {
        boost::system::error_code ec;
        m_news.expires_at(wait->until);
        co_await m_news.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    co_return true;
}

asio::awaitable<void> TablesExchange::ask(TablesFetch::Ask request)
{
    request.request.ip = m_settings.peerAddress.ip;
    const auto piece = co_await m_port.pull(request.ip, request.request);
    if (!piece) {
        logEvent(LogLevel::Info, "tables_pull_failed", { { "peer", request.ip }, { "error", piece.error().message } });
        m_fetch.onFailure(request.ip, now());
        co_return;
    }
    if (const auto update = m_fetch.onPiece(request.ip, *piece, now()))
        apply(*update);
    // The piece has used the link already, so the next one waits for the end of its share.
    m_receivePace.reserve(piece->bytes.size(), now());
    co_await sleepUntil(now() + m_receivePace.backlog(now()));
}

void TablesExchange::apply(const TablesFetch::Update& encoded)
{
    const auto start = now();
    const auto sinceNews = m_fetch.sinceNews(start);
    const auto update = decodeTablesUpdate(encoded.bytes);
    const auto* base = m_state.tablesHistory().find(encoded.baseVersion);
    auto tables = update && base ? applyTablesUpdate(*update, *base) : tl::unexpected<std::string>(update ? "the base is no longer known" : "the update can't be decoded");
    if (!tables) {
        logEvent(LogLevel::Warning, "tables_update_refused", { { "base", encoded.baseVersion }, { "problem", tables.error() } });
        m_fetch.onRejected();
        return;
    }
    m_state.acceptTables(std::move(*tables), { encoded.baseVersion == 0 ? "whole" : "update", encoded.bytes.size(), since(start), sinceNews });
}

}

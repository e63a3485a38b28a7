#include "fakes/FakeStore.h"

#include "fakes/BlockData.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace fakes {

namespace asio = boost::asio;
namespace http = chiveshelf::http;
using Clock = std::chrono::steady_clock;
using http::Status;
using http::Verb;
using nlohmann::json;

namespace {

    constexpr std::string_view blocksPrefix = "/blocks/";
    constexpr std::string_view commitSuffix = "/commit";
    // Concurrent transfers take turns on the link after each chunk.
    constexpr std::int64_t chunkBytes = 16 * 1024;
    constexpr std::uint64_t blockLimitBytes = 64 * 1024 * 1024;

    http::ServerLimits storeLimits()
    {
        http::ServerLimits limits;
        limits.bodyBytes = blockLimitBytes;
        return limits;
    }

    asio::awaitable<void> sleepUntil(asio::io_context& context, Clock::time_point time)
    {
        asio::steady_timer timer(context, time);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }

    Clock::duration timeFor(std::int64_t bytes, std::int64_t bytesPerSecond)
    {
        return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(static_cast<double>(bytes) / static_cast<double>(bytesPerSecond)));
    }

    http::Response errorResponse(Status status, const std::string& code)
    {
        return http::makeResponse(status, json { { "error", { { "code", code } } } }.dump());
    }

}

FakeStore::FakeStore(asio::io_context& context, FakeStoreSettings settings)
    : m_context(context)
    , m_settings(settings)
    , m_server(context, storeLimits(), [this](http::Exchange& exchange) { return handle(exchange); })
    , m_generation(std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
{
}

chiveshelf::Result<void> FakeStore::start(const chiveshelf::Address& address)
{
    return m_server.start(address);
}

asio::awaitable<void> FakeStore::handle(http::Exchange& exchange)
{
    const auto& request = exchange.request();
    const auto text = request.target();
    const auto target = http::parseTarget({ text.data(), text.size() });
    if (target.path.starts_with("/control/")) {
        co_await exchange.respond(handleControl(target, request));
        co_return;
    }
    ++m_counters["calls"];
    if (m_faults.delayMs > 0)
        co_await sleepUntil(m_context, Clock::now() + std::chrono::milliseconds(m_faults.delayMs));
    auto response = errorResponse(Status::not_found, "not_found");
    if (target.path == "/status") {
        response = status();
    } else if (target.path == "/lookup" && request.method() == Verb::post) {
        response = lookUp(request.body());
    } else if (target.path.starts_with(blocksPrefix)) {
        auto key = target.path.substr(blocksPrefix.size());
        const auto generation = target.number("generation", -1);
        if (key.ends_with(commitSuffix)) {
            response = commit(key.substr(0, key.size() - commitSuffix.size()), generation);
        } else if (request.method() == Verb::get) {
            co_await get(exchange, key, generation);
            co_return;
        } else if (request.method() == Verb::put) {
            response = co_await put(key, request, generation);
        } else if (request.method() == Verb::delete_) {
            m_blocks.erase(key);
            ++m_counters["deletes"];
            response = http::makeResponse(Status::ok, "{}");
        }
    }
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> FakeStore::transfer(std::int64_t bytes)
{
    const auto speed = m_faults.linkBytesPerSecond > 0 ? m_faults.linkBytesPerSecond : m_settings.linkBytesPerSecond;
    m_linkFreeAt = std::max(m_linkFreeAt, Clock::now()) + timeFor(bytes, speed);
    co_await sleepUntil(m_context, m_linkFreeAt);
}

asio::awaitable<http::Response> FakeStore::put(std::string key, const http::Request& request, std::int64_t generation)
{
    if (generation != m_generation)
        co_return errorResponse(Status::conflict, "wrong_generation");
    const auto found = m_blocks.find(key);
    if (found != m_blocks.end() && found->second.isCommitted)
        co_return http::makeResponse(Status::ok, json { { "exists", true } }.dump());
    if (m_faults.isFull)
        co_return errorResponse(Status::insufficient_storage, "full");
    const auto lengthText = http::header(request, "X-Block-Length");
    Block block;
    std::from_chars(lengthText.data(), lengthText.data() + lengthText.size(), block.length);
    block.checksum = http::header(request, "X-Block-Checksum");
    block.data = std::make_shared<const std::string>(request.body());
    block.lastUse = ++m_useCount;
    m_blocks[key] = block;
    const auto bytes = static_cast<std::int64_t>(request.body().size());
    for (std::int64_t sent = 0; sent < bytes; sent += chunkBytes)
        co_await transfer(std::min(chunkBytes, bytes - sent));
    m_counters["put_bytes"] += bytes;
    ++m_counters["puts"];
    co_return http::makeResponse(Status::created, "{}");
}

http::Response FakeStore::commit(const std::string& key, std::int64_t generation)
{
    if (generation != m_generation)
        return errorResponse(Status::conflict, "wrong_generation");
    const auto it = m_blocks.find(key);
    if (it == m_blocks.end())
        return errorResponse(Status::not_found, "not_found");
    auto& block = it->second;
    if (static_cast<std::int64_t>(block.data->size()) != block.length || blockChecksum(key, *block.data) != block.checksum) {
        m_blocks.erase(it);
        return errorResponse(Status::conflict, "incomplete");
    }
    block.isCommitted = true;
    ++m_counters["commits"];
    evictOverLimits();
    return http::makeResponse(Status::ok, "{}");
}

std::int64_t FakeStore::tierBytes(bool isOnDisk) const
{
    std::int64_t n = 0;
    for (const auto& [key, block] : m_blocks)
        n += block.isOnDisk == isOnDisk ? block.length : 0;
    return n;
}

void FakeStore::evictOverLimits()
{
    const auto leastRecentlyUsed = [this](bool isOnDisk) {
        auto out = m_blocks.end();
        for (auto it = m_blocks.begin(); it != m_blocks.end(); ++it) {
            if (it->second.isOnDisk == isOnDisk && (out == m_blocks.end() || it->second.lastUse < out->second.lastUse))
                out = it;
        }
        return out;
    };
    while (tierBytes(false) > m_settings.memoryBytes)
        leastRecentlyUsed(false)->second.isOnDisk = true;
    while (tierBytes(true) > m_settings.diskBytes) {
        m_blocks.erase(leastRecentlyUsed(true));
        ++m_counters["evictions"];
    }
}

asio::awaitable<void> FakeStore::get(http::Exchange& exchange, std::string key, std::int64_t generation)
{
    const auto it = m_blocks.find(key);
    if (generation != m_generation || it == m_blocks.end() || !it->second.isCommitted) {
        ++m_counters["read_misses"];
        const bool isStaleGeneration = generation != m_generation;
        co_await exchange.respond(errorResponse(isStaleGeneration ? Status::conflict : Status::not_found, isStaleGeneration ? "wrong_generation" : "not_found"));
        co_return;
    }
    it->second.lastUse = ++m_useCount;
    // Keeps the data alive if the block is evicted during the read.
    auto data = it->second.data;
    if (it->second.isOnDisk)
        co_await sleepUntil(m_context, Clock::now() + timeFor(it->second.length, m_settings.diskBytesPerSecond));
    auto end = data->size();
    bool isAborted = false;
    if (m_faults.swappedReads > 0 && m_blocks.size() > 1) {
        --m_faults.swappedReads;
        ++m_counters["swapped"];
        for (const auto& [other, block] : m_blocks) {
            if (other != key && block.isCommitted)
                data = block.data;
        }
        end = data->size();
    } else if (m_faults.truncatedReads > 0) {
        --m_faults.truncatedReads;
        ++m_counters["truncated"];
        end /= 2;
    } else if (m_faults.evictedReads > 0) {
        --m_faults.evictedReads;
        ++m_counters["evicted_during_read"];
        m_blocks.erase(key);
        end /= 2;
        isAborted = true;
    }
    const std::vector<std::pair<std::string, std::string>> noHeaders;
    auto isOpen = co_await exchange.startStream(Status::ok, "application/octet-stream", noHeaders);
    for (std::size_t sent = 0; isOpen && sent < end; sent += chunkBytes) {
        const auto n = std::min<std::size_t>(chunkBytes, end - sent);
        co_await transfer(static_cast<std::int64_t>(n));
        const std::string_view chunk(data->data() + sent, n);
        isOpen = co_await exchange.write(chunk);
        m_counters["get_bytes"] += static_cast<std::int64_t>(n);
    }
    if (!isOpen || isAborted) {
        exchange.abort();
        co_return;
    }
    ++m_counters["gets"];
    co_await exchange.finishStream();
}

http::Response FakeStore::lookUp(const std::string& body)
{
    ++m_counters["lookups"];
    const auto request = json::parse(body, nullptr, false);
    if (!request.is_object() || !request.contains("keys") || !request["keys"].is_array())
        return errorResponse(Status::bad_request, "invalid_request");
    auto records = json::array();
    for (const auto& key : request["keys"]) {
        const auto it = key.is_string() ? m_blocks.find(key.get<std::string>()) : m_blocks.end();
        if (it == m_blocks.end() || !it->second.isCommitted)
            continue;
        records.push_back({ { "key", key }, { "length", it->second.length }, { "checksum", it->second.checksum }, { "generation", m_generation } });
    }
    return http::makeResponse(Status::ok, json { { "generation", m_generation }, { "records", records } }.dump());
}

http::Response FakeStore::status() const
{
    const auto memory = tierBytes(false);
    const auto disk = tierBytes(true);
    const auto free = m_faults.isFull ? 0 : m_settings.memoryBytes + m_settings.diskBytes - memory - disk;
    return http::makeResponse(Status::ok, json { { "generation", m_generation }, { "memory", memory }, { "disk", disk }, { "free", free } }.dump());
}

http::Response FakeStore::handleControl(const http::Target& target, const http::Request& request)
{
    if (target.path == "/control/stats") {
        json out = m_counters;
        out["generation"] = m_generation;
        out["blocks"] = std::count_if(m_blocks.begin(), m_blocks.end(), [](const auto& entry) { return entry.second.isCommitted; });
        out["uncommitted"] = m_blocks.size() - out["blocks"].get<std::size_t>();
        return http::makeResponse(Status::ok, out.dump());
    }
    const auto body = json::parse(request.body(), nullptr, false);
    if (target.path == "/control/faults" && request.method() == Verb::put && body.is_object()) {
        m_faults = { body.value("truncate", 0), body.value("swap", 0), body.value("evict_during_read", 0), body.value("full", false),
            body.value("link_bytes_per_second", std::int64_t { 0 }), body.value("delay_ms", std::int64_t { 0 }) };
        return http::makeResponse(Status::ok, "{}");
    }
    if (target.path == "/control/exit")
        std::_Exit(1);
    return errorResponse(Status::not_found, "not_found");
}

}

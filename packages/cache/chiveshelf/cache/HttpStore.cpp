#include "chiveshelf/cache/HttpStore.h"

#include <nlohmann/json.hpp>

namespace chiveshelf {

namespace asio = boost::asio;
using http::Verb;
using nlohmann::json;

namespace {

    tl::unexpected<Error> statusFailure(const http::Response& response)
    {
        const auto message = "store returned HTTP status " + std::to_string(response.result_int());
        if (response.result() == http::Status::conflict)
            return failure(ErrorCode::Conflict, message, Verdict::NotRun);
        if (response.result() == http::Status::not_found)
            return failure(ErrorCode::NotFound, message, Verdict::NotRun);
        return failure(ErrorCode::Unavailable, message, Verdict::MayHaveRun);
    }

}

HttpStore::HttpStore(http::Client& client, StoreLimits limits)
    : m_client(client)
    , m_limits(limits)
{
}

asio::awaitable<Result<StoreLookup>> HttpStore::lookUp(Address address, std::vector<std::string> keys)
{
    const json body { { "keys", keys } };
    auto response = co_await m_client.send(address, http::makeRequest(Verb::post, "/lookup", body.dump()), m_limits.lookUp);
    if (!response)
        co_return tl::unexpected(response.error());
    if (response->result() != http::Status::ok)
        co_return statusFailure(*response);
    const auto parsed = json::parse(response->body(), nullptr, false);
    try {
        StoreLookup out;
        out.generation = parsed.at("generation").get<std::int64_t>();
        for (const auto& row : parsed.at("records")) {
            BlockRecord record { row.value("key", ""), row.value("length", std::int64_t { 0 }), row.value("checksum", ""),
                row.value("generation", std::int64_t { -1 }), address };
            // Skip records of another generation, since the store may no longer have their data.
            if (!record.key.empty() && record.length > 0 && !record.checksum.empty() && record.generation == out.generation)
                out.records.push_back(std::move(record));
        }
        co_return out;
    } catch (const json::exception&) {
        co_return failure(ErrorCode::Internal, "malformed look-up response from store", Verdict::NotRun);
    }
}

asio::awaitable<Result<void>> HttpStore::commit(BlockRecord record)
{
    const auto target = "/blocks/" + http::percentEncode(record.key) + "/commit?generation=" + std::to_string(record.generation);
    auto response = co_await m_client.send(record.store, http::makeRequest(Verb::post, target), m_limits.commit);
    if (!response)
        co_return tl::unexpected(response.error());
    if (response->result() != http::Status::ok)
        co_return statusFailure(*response);
    co_return Result<void> {};
}

}

#include "chiveshelf/ctl/HostCommands.h"

#include "chiveshelf/core/Mailbox.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    using Json = nlohmann::ordered_json;
    using Cells = std::vector<std::string>;

    constexpr http::CallLimits callLimits { std::chrono::milliseconds(500), std::chrono::milliseconds(1'000) };
    constexpr auto pollInterval = std::chrono::milliseconds(50);

    // An address and path from which a JSON document is fetched.
    struct Query {
        std::optional<Address> address;
        std::string path;
    };

    struct QueryResult {
        std::size_t index = 0;
        // HTTP status; empty if there was no response.
        std::optional<unsigned> status;
        Json body;
    };

    asio::awaitable<void> fetch(http::Client& client, Query query, std::size_t index, std::shared_ptr<Mailbox<QueryResult>> results)
    {
        QueryResult result { index, std::nullopt, nullptr };
        if (query.address) {
            auto request = http::makeRequest(http::Verb::get, query.path);
            const auto response = co_await client.send(*query.address, std::move(request), callLimits);
            if (response) {
                result.status = response->result_int();
                result.body = Json::parse(response->body(), nullptr, false);
            }
        }
        results->push(std::move(result));
    }

    // Sends all queries concurrently. Returns the results in the order of the queries.
    asio::awaitable<std::vector<QueryResult>> fetchAll(HostContext& host, std::vector<Query> queries)
    {
        const auto results = std::make_shared<Mailbox<QueryResult>>(host.context);
        for (std::size_t i = 0; i < queries.size(); ++i)
            asio::co_spawn(host.context, fetch(host.client, queries[i], i, results), asio::detached);
        std::vector<QueryResult> out(queries.size());
        for (std::size_t i = 0; i < queries.size(); ++i) {
            auto result = co_await results->receive();
            const auto index = result->index;
            out[index] = std::move(*result);
        }
        co_return out;
    }

    asio::awaitable<std::vector<QueryResult>> fetchStates(HostContext& host, std::vector<HostTarget> targets)
    {
        std::vector<Query> queries;
        for (const auto& target : targets)
            queries.push_back({ target.adminAddress, "/state" });
        co_return co_await fetchAll(host, std::move(queries));
    }

    asio::awaitable<Result<std::vector<HostTarget>>> findTargets(HostContext& host)
    {
        std::vector<HostTarget> targets;
        for (const auto& address : host.addresses)
            targets.push_back({ toString(address), "", address, false });
        if (!targets.empty())
            co_return targets;
        const auto listed = co_await host.platform.list();
        if (!listed)
            co_return tl::unexpected(listed.error());
        for (const auto& entry : *listed)
            targets.push_back({ entry.name, entry.dataCentre, entry.adminAddress, entry.isLeaving });
        co_return targets;
    }

    ExitCode report(const Error& error)
    {
        std::cerr << "chivesctl: cannot read the host list of the platform: " << error.message << "; specify the admin addresses with --hosts\n";
        return ExitCode::Unavailable;
    }

    std::string text(const Json& document, const std::string& field, const std::string& fallback = "-")
    {
        const auto it = document.is_object() ? document.find(field) : document.end();
        if (!document.is_object() || it == document.end())
            return fallback;
        return it->is_string() ? it->get<std::string>() : it->dump();
    }

    std::uint64_t revisionOf(const Json& state)
    {
        return state.is_object() ? state.value("tables_revision", std::uint64_t { 0 }) : 0;
    }

    // Prints rows with aligned columns. The first row is the heading.
    void printTable(const std::vector<Cells>& rows)
    {
        std::vector<std::size_t> widths;
        for (const auto& row : rows) {
            widths.resize(std::max(widths.size(), row.size()), 0);
            for (std::size_t i = 0; i < row.size(); ++i)
                widths[i] = std::max(widths[i], row[i].size());
        }
        for (const auto& row : rows) {
            for (std::size_t i = 0; i + 1 < row.size(); ++i)
                std::cout << std::left << std::setw(static_cast<int>(widths[i]) + 2) << row[i];
            std::cout << row.back() << "\n";
        }
    }

    std::string healthOf(const Pool& pool, const QueryResult& result)
    {
        if (!result.status)
            return "unreachable";
        if (pool.kind == PoolKind::Service)
            return *result.status < 500 ? "ok" : "answers " + std::to_string(*result.status);
        if (*result.status >= 300)
            return "answers " + std::to_string(*result.status);
        if (result.body.is_object() && result.body.contains("loading") && result.body["loading"] != Json(false) && result.body["loading"] != Json(0) && result.body["loading"] != Json(""))
            return "loading";
        const auto version = text(result.body, "version", pool.version);
        return version == pool.version ? "ok" : "has version " + version;
    }

}

asio::awaitable<ExitCode> waitForRevision(HostContext& host, std::uint64_t revision, std::chrono::milliseconds limit)
{
    const auto begin = std::chrono::steady_clock::now();
    const auto elapsed = [&] { return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin); };
    const auto targets = co_await findTargets(host);
    if (!targets)
        co_return report(targets.error());
    auto pendingHosts = *targets;
    auto hosts = Json::array();
    asio::steady_timer timer(host.context);
    while (true) {
        const auto results = co_await fetchStates(host, pendingHosts);
        std::vector<HostTarget> remaining;
        hosts = Json::array();
        for (const auto& result : results) {
            const auto& target = pendingHosts[result.index];
            if (revisionOf(result.body) >= revision || (target.isLeaving && !result.status))
                continue;
            remaining.push_back(target);
            hosts.push_back({ { "host", target.name }, { "data_centre", target.dataCentre }, { "reachable", result.status.has_value() },
                { "revision", revisionOf(result.body) } });
        }
        pendingHosts = std::move(remaining);
        if (pendingHosts.empty() || elapsed() >= limit)
            break;
        boost::system::error_code ec;
        timer.expires_after(pollInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    if (host.format == OutputFormat::Json)
        std::cout << Json { { "revision", revision }, { "in_force", pendingHosts.empty() }, { "hosts", targets->size() },
            { "elapsed_ms", elapsed().count() }, { "not_in_force", hosts } }
                         .dump(2)
                  << "\n";
    else if (pendingHosts.empty())
        std::cout << "revision " << revision << " is in force on " << targets->size() << " hosts after " << elapsed().count() << " ms\n";
    for (const auto& entry : hosts)
        std::cerr << "chivesctl: revision " << revision << " is not in force on " << text(entry, "host") << ": "
                  << (entry["reachable"].get<bool>() ? "it has revision " + text(entry, "revision") : "it does not respond") << "\n";
    co_return pendingHosts.empty() ? ExitCode::Success : ExitCode::NotInForce;
}

asio::awaitable<ExitCode> showState(HostContext& host, std::vector<std::string> names)
{
    auto targets = co_await findTargets(host);
    if (!targets)
        co_return report(targets.error());
    for (const auto& name : names) {
        if (std::none_of(targets->begin(), targets->end(), [&](const HostTarget& target) { return target.name == name; })) {
            std::cerr << "chivesctl: no host named " << name << "\n";
            co_return ExitCode::Usage;
        }
    }
    if (!names.empty())
        std::erase_if(*targets, [&](const HostTarget& target) { return std::find(names.begin(), names.end(), target.name) == names.end(); });
    const auto results = co_await fetchStates(host, *targets);
    auto documents = Json::object();
    bool isComplete = true;
    for (const auto& result : results) {
        const auto& name = (*targets)[result.index].name;
        documents[name] = result.body;
        isComplete = isComplete && result.status;
        if (!result.status)
            std::cerr << "chivesctl: " << name << " does not respond\n";
        if (host.format == OutputFormat::Text && result.status)
            std::cout << name << ":\n"
                      << result.body.dump(2) << "\n";
    }
    if (host.format == OutputFormat::Json)
        std::cout << documents.dump(2) << "\n";
    co_return isComplete ? ExitCode::Success : ExitCode::Unavailable;
}

asio::awaitable<ExitCode> drainHost(HostContext& host, std::string name)
{
    const auto targets = co_await findTargets(host);
    if (!targets)
        co_return report(targets.error());
    const auto it = std::find_if(targets->begin(), targets->end(), [&](const HostTarget& target) { return target.name == name; });
    if (it == targets->end() || !it->adminAddress) {
        std::cerr << "chivesctl: no host named " << name << (it == targets->end() ? "" : " with a known admin address") << "\n";
        co_return ExitCode::Usage;
    }
    auto request = http::makeRequest(http::Verb::post, "/drain");
    const auto response = co_await host.client.send(*it->adminAddress, std::move(request), callLimits);
    if (!response || response->result_int() >= 300) {
        std::cerr << "chivesctl: " << name << ": " << (response ? "responded with status " + std::to_string(response->result_int()) : response.error().message) << "\n";
        co_return ExitCode::Unavailable;
    }
    if (host.format == OutputFormat::Json)
        std::cout << Json { { "host", name }, { "draining", true } }.dump() << "\n";
    else
        std::cout << name << " finishes its requests and stops\n";
    co_return ExitCode::Success;
}

asio::awaitable<ExitCode> listHosts(HostContext& host)
{
    const auto targets = co_await findTargets(host);
    if (!targets)
        co_return report(targets.error());
    const auto results = co_await fetchStates(host, *targets);
    auto list = Json::array();
    std::vector<Cells> rows { { "HOST", "DATA CENTRE", "ADMIN", "STATUS", "REVISION", "ACTIVE" } };
    for (const auto& result : results) {
        const auto& target = (*targets)[result.index];
        const bool isDraining = text(result.body, "draining") == "true";
        const std::string status = !result.status ? "unreachable" : isDraining || target.isLeaving ? "leaving"
                                                                                                   : "live";
        const auto dataCentre = text(result.body, "data_centre", target.dataCentre);
        const auto address = target.adminAddress ? toString(*target.adminAddress) : "-";
        rows.push_back({ text(result.body, "host", target.name), dataCentre, address, status, text(result.body, "tables_revision"), text(result.body, "active_requests") });
        list.push_back({ { "host", rows.back()[0] }, { "data_centre", dataCentre }, { "admin_address", address }, { "status", status },
            { "tables_revision", revisionOf(result.body) } });
    }
    if (host.format == OutputFormat::Json)
        std::cout << list.dump(2) << "\n";
    else
        printTable(rows);
    co_return ExitCode::Success;
}

asio::awaitable<ExitCode> listRunners(HostContext& host, TableEditor& editor)
{
    const auto stored = co_await editor.read();
    if (!stored) {
        std::cerr << "chivesctl: " << stored.error().message << "\n";
        co_return stored.error().code;
    }
    std::vector<Query> queries;
    for (const auto& pool : stored->tables.pools) {
        for (const auto& runner : pool.runners)
            queries.push_back({ runner.address, pool.kind == PoolKind::Model ? "/v1/load" : "/" });
    }
    const auto results = co_await fetchAll(host, queries);
    auto list = Json::array();
    std::vector<Cells> rows { { "POOL", "RUNNER", "DATA CENTRE", "ADDRESS", "HEALTH", "RUNNING", "QUEUE", "VERSION" } };
    auto result = results.begin();
    for (const auto& pool : stored->tables.pools) {
        for (const auto& runner : pool.runners) {
            const auto health = healthOf(pool, *result);
            rows.push_back({ pool.name, runner.name, runner.dataCentre, toString(runner.address), health, text(result->body, "running"),
                text(result->body, "queue"), text(result->body, "version") });
            list.push_back({ { "pool", pool.name }, { "runner", runner.name }, { "data_centre", runner.dataCentre },
                { "address", toString(runner.address) }, { "health", health }, { "load", result->body } });
            ++result;
        }
    }
    if (host.format == OutputFormat::Json)
        std::cout << list.dump(2) << "\n";
    else
        printTable(rows);
    co_return ExitCode::Success;
}

}

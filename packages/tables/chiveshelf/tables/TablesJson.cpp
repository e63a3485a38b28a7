#include "chiveshelf/tables/TablesJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace chiveshelf {

using Json = nlohmann::ordered_json;

namespace {

    constexpr int maximumWeight = 1'000;
    constexpr int maximumSlots = 4'096;
    constexpr int maximumTargetMs = 3'600'000;
    constexpr int maximumConcurrentLoads = 2;

    // Reads the fields of one row and collects its problems. Call finish() after reading all known fields; it reports the others
    // as unknown.
    class RowReader {
    public:
        RowReader(const Json& row, std::string table, std::string name, std::vector<TableProblem>& problems)
            : m_row(row)
            , m_table(std::move(table))
            , m_name(std::move(name))
            , m_problems(problems)
        {
        }

        void report(const std::string& field, const std::string& message)
        {
            m_problems.push_back({ m_table, m_name, field, message });
        }

        std::string text(const std::string& field, bool isRequired)
        {
            const auto* value = find(field);
            if (!value) {
                if (isRequired)
                    report(field, "is required");
                return {};
            }
            if (!value->is_string() || (isRequired && value->get<std::string>().empty())) {
                report(field, isRequired ? "must be a non-empty string" : "must be a string");
                return {};
            }
            return value->get<std::string>();
        }

        int number(const std::string& field, int fallback, int minimum, int maximum)
        {
            const auto* value = find(field);
            if (!value)
                return fallback;
            const bool isValid = value->is_number_integer() && value->get<std::int64_t>() >= minimum && value->get<std::int64_t>() <= maximum;
            if (!isValid) {
                report(field, "must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
                return fallback;
            }
            return value->get<int>();
        }

        bool flag(const std::string& field, bool fallback)
        {
            const auto* value = find(field);
            if (!value)
                return fallback;
            if (!value->is_boolean()) {
                report(field, "must be true or false");
                return fallback;
            }
            return value->get<bool>();
        }

        std::optional<Priority> priority(const std::string& field)
        {
            const auto name = text(field, false);
            if (name.empty())
                return std::nullopt;
            const auto priority = priorityFromName(name);
            if (!priority)
                report(field, "must be urgent, standard or batch");
            return priority;
        }

        // Returns the value of the field, or nullptr if it is absent.
        const Json* find(const std::string& field)
        {
            m_readFields.insert(field);
            const auto it = m_row.find(field);
            return it == m_row.end() ? nullptr : &*it;
        }

        void finish()
        {
            for (const auto& [field, value] : m_row.items()) {
                if (!m_readFields.contains(field))
                    report(field, "unknown field");
            }
        }

    private:
        const Json& m_row;
        std::string m_table;
        std::string m_name;
        std::vector<TableProblem>& m_problems;
        std::set<std::string> m_readFields;
    };

    std::string rowName(const Json& row, std::size_t index)
    {
        if (row.is_object() && row.contains("name") && row["name"].is_string())
            return row["name"].get<std::string>();
        return "#" + std::to_string(index + 1);
    }

    std::vector<Backend> readBackends(RowReader& reader, const std::string& table, const std::string& row, const std::string& field,
        std::vector<TableProblem>& problems)
    {
        std::vector<Backend> backends;
        const auto* value = reader.find(field);
        if (!value)
            return backends;
        if (!value->is_array()) {
            reader.report(field, "must be a list");
            return backends;
        }
        std::set<std::string> names;
        for (std::size_t i = 0; i < value->size(); ++i) {
            const auto& entry = (*value)[i];
            const auto name = field + "[" + rowName(entry, i) + "]";
            if (!entry.is_object()) {
                reader.report(name, "must be an object");
                continue;
            }
            RowReader fieldReader(entry, table, row + "." + name, problems);
            Backend backend;
            backend.name = fieldReader.text("name", true);
            backend.dataCentre = fieldReader.text("data_centre", true);
            const auto address = parseAddress(fieldReader.text("address", true));
            if (!address || address->port == 0)
                fieldReader.report("address", address ? "port must not be 0" : address.error().message);
            else
                backend.address = *address;
            fieldReader.finish();
            if (!names.insert(backend.name).second)
                reader.report(name, "duplicate name");
            backends.push_back(std::move(backend));
        }
        return backends;
    }

    Route readRoute(const Json& row, std::size_t index, std::vector<TableProblem>& problems)
    {
        RowReader reader(row, "routes", rowName(row, index), problems);
        Route route;
        route.name = reader.text("name", true);
        route.organisation = reader.text("organisation", true);
        route.model = reader.text("model", false);
        route.path = reader.text("path", false);
        route.pool = reader.text("pool", true);
        route.priority = reader.priority("priority").value_or(Priority::Standard);
        route.maxPriority = reader.priority("max_priority");
        route.weight = reader.number("weight", 1, 1, maximumWeight);
        if (route.model.empty() == route.path.empty())
            reader.report("model", "exactly one of model and path must be set");
        if (!route.path.empty() && route.path.front() != '/')
            reader.report("path", "must begin with /");
        if (route.maxPriority && route.priority < *route.maxPriority)
            reader.report("priority", "is more urgent than max_priority");
        reader.finish();
        return route;
    }

    void readPriorityValues(RowReader& reader, const std::string& field, int minimum, int maximum, std::vector<TableProblem>& problems,
        const std::string& row, const std::function<void(std::size_t, int)>& set)
    {
        const auto* value = reader.find(field);
        if (!value)
            return;
        if (!value->is_object()) {
            reader.report(field, "must be an object with urgent, standard and batch");
            return;
        }
        RowReader fieldReader(*value, "pools", row + "." + field, problems);
        for (const auto priority : allPriorities) {
            const std::string name(priorityName(priority));
            if (!fieldReader.find(name)) {
                fieldReader.report(name, "is required");
                continue;
            }
            set(priorityIndex(priority), fieldReader.number(name, minimum, minimum, maximum));
        }
        fieldReader.finish();
    }

    Pool readPool(const Json& row, std::size_t index, std::vector<TableProblem>& problems)
    {
        const auto label = rowName(row, index);
        RowReader reader(row, "pools", label, problems);
        Pool pool;
        pool.name = reader.text("name", true);
        const auto kind = reader.text("kind", true);
        if (!kind.empty() && kind != "model" && kind != "service")
            reader.report("kind", "must be model or service");
        pool.kind = kind == "service" ? PoolKind::Service : PoolKind::Model;
        const bool isModel = pool.kind == PoolKind::Model;
        pool.model = reader.text("model", isModel);
        pool.adapter = reader.text("adapter", false);
        pool.version = reader.text("version", isModel);
        pool.runners = readBackends(reader, "pools", label, "runners", problems);
        pool.stores = readBackends(reader, "pools", label, "stores", problems);
        readPriorityValues(reader, "targets_ms", 1, maximumTargetMs, problems, label,
            [&](std::size_t i, int ms) { pool.targets[i] = std::chrono::milliseconds(ms); });
        readPriorityValues(reader, "shares", 0, 100, problems, label, [&](std::size_t i, int percent) { pool.shares[i] = percent; });
        pool.maxConcurrentLoads = reader.number("max_concurrent_loads", maximumConcurrentLoads, 1, maximumConcurrentLoads);
        pool.slotsPerRunner = reader.number("slots_per_runner", pool.slotsPerRunner, 1, maximumSlots);
        pool.isRepeatable = reader.flag("repeatable", false);
        if (pool.runners.empty())
            reader.report("runners", "at least one runner is required");
        if (pool.shares[0] + pool.shares[1] + pool.shares[2] > 100)
            reader.report("shares", "must not add up to more than 100");
        reader.finish();
        return pool;
    }

    template <typename Row>
    void checkDuplicateNames(const std::vector<Row>& rows, const std::string& table, std::vector<TableProblem>& problems)
    {
        std::set<std::string> names;
        for (const auto& row : rows) {
            if (!row.name.empty() && !names.insert(row.name).second)
                problems.push_back({ table, row.name, "name", "duplicate name" });
        }
    }

    void checkReferences(const Tables& tables, std::vector<TableProblem>& problems)
    {
        std::set<std::string> routed;
        std::set<std::array<std::string, 3>> matchKeys;
        for (const auto& route : tables.routes) {
            routed.insert(route.pool);
            if (!matchKeys.insert({ route.organisation, route.model, route.path }).second)
                problems.push_back({ "routes", route.name, "organisation", "another route has the same organisation and model or path" });
            const auto* pool = tables.findPool(route.pool);
            if (!pool) {
                if (!route.pool.empty())
                    problems.push_back({ "routes", route.name, "pool", "no pool named '" + route.pool + "'" });
                continue;
            }
            const bool isPathRoute = !route.path.empty();
            if (isPathRoute != (pool->kind == PoolKind::Service))
                problems.push_back({ "routes", route.name, "pool", "a route with a model requires a model pool, a route with a path requires a service pool" });
            if (!isPathRoute && pool->kind == PoolKind::Model && pool->model != route.model)
                problems.push_back({ "routes", route.name, "model", "pool '" + pool->name + "' serves model '" + pool->model + "'" });
        }
        for (const auto& pool : tables.pools) {
            if (!pool.name.empty() && !routed.contains(pool.name))
                problems.push_back({ "pools", pool.name, "name", "no route refers to this pool" });
        }
    }

    template <typename Read>
    void readRows(const Json& document, const std::string& table, std::vector<TableProblem>& problems, Read read)
    {
        if (!document.contains(table) || !document[table].is_array()) {
            problems.push_back({ "", "", table, "must be a list" });
            return;
        }
        const auto& rows = document[table];
        for (std::size_t i = 0; i < rows.size(); ++i) {
            if (!rows[i].is_object())
                problems.push_back({ table, "#" + std::to_string(i + 1), "", "must be an object" });
            else
                read(rows[i], i);
        }
    }

    Json backendsToJson(const std::vector<Backend>& backends)
    {
        Json list = Json::array();
        for (const auto& backend : backends)
            list.push_back({ { "name", backend.name }, { "address", toString(backend.address) }, { "data_centre", backend.dataCentre } });
        return list;
    }

    Json routeToJson(const Route& route)
    {
        Json row { { "name", route.name }, { "organisation", route.organisation } };
        if (!route.model.empty())
            row["model"] = route.model;
        if (!route.path.empty())
            row["path"] = route.path;
        row["pool"] = route.pool;
        row["priority"] = priorityName(route.priority);
        if (route.maxPriority)
            row["max_priority"] = priorityName(*route.maxPriority);
        row["weight"] = route.weight;
        return row;
    }

    Json poolToJson(const Pool& pool)
    {
        Json row { { "name", pool.name }, { "kind", pool.kind == PoolKind::Model ? "model" : "service" } };
        if (!pool.model.empty())
            row["model"] = pool.model;
        if (!pool.adapter.empty())
            row["adapter"] = pool.adapter;
        if (!pool.version.empty())
            row["version"] = pool.version;
        row["runners"] = backendsToJson(pool.runners);
        row["stores"] = backendsToJson(pool.stores);
        for (const auto priority : allPriorities) {
            row["targets_ms"][std::string(priorityName(priority))] = pool.targets[priorityIndex(priority)].count();
            row["shares"][std::string(priorityName(priority))] = pool.shares[priorityIndex(priority)];
        }
        row["max_concurrent_loads"] = pool.maxConcurrentLoads;
        row["slots_per_runner"] = pool.slotsPerRunner;
        row["repeatable"] = pool.isRepeatable;
        return row;
    }

    template <typename Rows>
    std::string formatRows(const Rows& rows)
    {
        std::string out = "[";
        for (const auto& row : rows)
            out += (out.size() > 1 ? ",\n    " : "\n    ") + formatRow(row);
        return out + "\n  ]";
    }

    template <typename Row, typename Read>
    tl::expected<Row, std::vector<TableProblem>> parseRow(std::string_view text, const std::string& table, Read read)
    {
        const auto row = Json::parse(text, nullptr, false);
        if (!row.is_object())
            return tl::unexpected(std::vector<TableProblem> { { table, "", "", "must be an object" } });
        std::vector<TableProblem> problems;
        auto out = read(row, 0, problems);
        if (!problems.empty())
            return tl::unexpected(std::move(problems));
        return out;
    }

}

std::string toString(const TableProblem& problem)
{
    std::string out = problem.table;
    if (!problem.row.empty())
        out += "[" + problem.row + "]";
    if (!problem.field.empty())
        out += (out.empty() ? "" : ".") + problem.field;
    return out + ": " + problem.message;
}

tl::expected<Tables, std::vector<TableProblem>> parseTables(std::string_view text)
{
    std::vector<TableProblem> problems;
    Json document;
    try {
        document = Json::parse(text);
    } catch (const Json::parse_error& error) {
        return tl::unexpected(std::vector<TableProblem> { { "", "", "", error.what() } });
    }
    if (!document.is_object())
        return tl::unexpected(std::vector<TableProblem> { { "", "", "", "must be an object with routes and pools" } });
    RowReader reader(document, "", "", problems);
    Tables tables;
    const auto* revision = reader.find("revision");
    if (revision && !revision->is_number_unsigned())
        reader.report("revision", "must be a whole number");
    else if (revision)
        tables.revision = revision->get<std::uint64_t>();
    tables.editId = reader.text("edit_id", false);
    reader.find("routes");
    reader.find("pools");
    reader.finish();
    readRows(document, "routes", problems, [&](const Json& row, std::size_t i) { tables.routes.push_back(readRoute(row, i, problems)); });
    readRows(document, "pools", problems, [&](const Json& row, std::size_t i) { tables.pools.push_back(readPool(row, i, problems)); });
    checkDuplicateNames(tables.routes, "routes", problems);
    checkDuplicateNames(tables.pools, "pools", problems);
    checkReferences(tables, problems);
    if (!problems.empty())
        return tl::unexpected(std::move(problems));
    return tables;
}

tl::expected<Route, std::vector<TableProblem>> parseRoute(std::string_view text)
{
    return parseRow<Route>(text, "routes", readRoute);
}

tl::expected<Pool, std::vector<TableProblem>> parsePool(std::string_view text)
{
    return parseRow<Pool>(text, "pools", readPool);
}

std::string formatRow(const Route& route)
{
    return routeToJson(route).dump();
}

std::string formatRow(const Pool& pool)
{
    return poolToJson(pool).dump();
}

std::string formatTables(const Tables& tables)
{
    return "{\n  \"revision\": " + std::to_string(tables.revision) + ",\n  \"edit_id\": " + Json(tables.editId).dump()
        + ",\n  \"routes\": " + formatRows(tables.routes) + ",\n  \"pools\": " + formatRows(tables.pools)
        + "\n}\n";
}

}

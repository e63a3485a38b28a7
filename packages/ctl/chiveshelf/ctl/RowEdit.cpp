#include "chiveshelf/ctl/RowEdit.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace chiveshelf {

namespace {

    using Json = nlohmann::ordered_json;
    using Words = std::vector<std::string>;

    const std::set<std::string> stringFields { "name", "organisation", "model", "path", "pool", "priority", "max_priority", "kind", "adapter",
        "version" };

    tl::unexpected<RowEditFailure> usage(std::string message)
    {
        return tl::unexpected<RowEditFailure>(RowEditFailure { std::move(message), {} });
    }

    // Returns the value of FIELD or FIELD.PART, which is made if it is absent.
    Json& fieldOf(Json& row, const std::string& field)
    {
        const auto dot = field.find('.');
        if (dot == std::string::npos)
            return row[field];
        auto& outer = row[field.substr(0, dot)];
        if (!outer.is_object())
            outer = Json::object();
        return outer[field.substr(dot + 1)];
    }

    // Sets fields from FIELD=VALUE words. Returns the word that is not one, or an empty string.
    std::string assign(Json& row, const Words& words)
    {
        for (const auto& word : words) {
            const auto equals = word.find('=');
            if (equals == std::string::npos || equals == 0)
                return word;
            const auto field = word.substr(0, equals);
            const auto text = word.substr(equals + 1);
            auto value = stringFields.contains(field) ? Json(text) : Json::parse(text, nullptr, false);
            if (value.is_discarded())
                return word;
            fieldOf(row, field) = std::move(value);
        }
        return {};
    }

    void unassign(Json& row, const Words& fields)
    {
        for (const auto& field : fields) {
            const auto dot = field.find('.');
            if (dot == std::string::npos)
                row.erase(field);
            else if (row.contains(field.substr(0, dot)))
                row[field.substr(0, dot)].erase(field.substr(dot + 1));
        }
    }

    Json::iterator findRow(Json& rows, const std::string& name)
    {
        return std::find_if(rows.begin(), rows.end(), [&](const Json& row) { return row.value("name", "") == name; });
    }

    tl::expected<void, RowEditFailure> applyOne(Json& document, const Words& words)
    {
        if (words.size() < 3)
            return usage("an edit needs an action, a table and a row");
        const auto& action = words[0];
        const auto& table = words[1];
        if (table != "routes" && table != "pools")
            return usage("'" + table + "' is not a table; use routes or pools");
        auto& rows = document[table];
        if (action == "add") {
            Json row = Json::object();
            const auto wrong = assign(row, { words.begin() + 2, words.end() });
            if (!wrong.empty())
                return usage("'" + wrong + "' is not FIELD=VALUE with a valid value");
            rows.push_back(std::move(row));
            return {};
        }
        const auto it = findRow(rows, words[2]);
        if (it == rows.end())
            return tl::unexpected(RowEditFailure { "", { { table, words[2], "", "no such row" } } });
        const Words rest(words.begin() + 3, words.end());
        if (action == "remove" && rest.empty()) {
            rows.erase(it);
            return {};
        }
        if (rest.empty() || (action != "set" && action != "unset"))
            return usage("'" + action + "' with these arguments is not an edit; use set, unset, add or remove");
        if (action == "unset") {
            unassign(*it, rest);
            return {};
        }
        const auto wrong = assign(*it, rest);
        if (!wrong.empty())
            return usage("'" + wrong + "' is not FIELD=VALUE with a valid value");
        return {};
    }

}

tl::expected<Tables, RowEditFailure> applyRowEdits(const Tables& tables, const std::vector<std::string>& arguments)
{
    auto document = Json::parse(formatTables(tables));
    auto begin = arguments.begin();
    while (true) {
        const auto end = std::find(begin, arguments.end(), "and");
        auto applied = applyOne(document, { begin, end });
        if (!applied)
            return tl::unexpected(applied.error());
        if (end == arguments.end())
            break;
        begin = end + 1;
    }
    auto edited = parseTables(document.dump());
    if (!edited)
        return tl::unexpected(RowEditFailure { "", edited.error() });
    return std::move(*edited);
}

}

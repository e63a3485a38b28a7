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

    tl::unexpected<RowEditFailure> usageError(std::string message)
    {
        return tl::unexpected<RowEditFailure>(RowEditFailure { std::move(message), {} });
    }

    // Returns the value of FIELD or FIELD.PART, and creates it if it is absent.
    Json& findOrCreateField(Json& row, const std::string& field)
    {
        const auto dot = field.find('.');
        if (dot == std::string::npos)
            return row[field];
        auto& outer = row[field.substr(0, dot)];
        if (!outer.is_object())
            outer = Json::object();
        return outer[field.substr(dot + 1)];
    }

    // Sets fields from words of the form FIELD=VALUE. Returns the first invalid word, or an empty string.
    std::string setFields(Json& row, const Words& words)
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
            findOrCreateField(row, field) = std::move(value);
        }
        return {};
    }

    void unsetFields(Json& row, const Words& fields)
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

    tl::expected<void, RowEditFailure> applyEdit(Json& document, const Words& words)
    {
        if (words.size() < 3)
            return usageError("an edit requires an action, a table and a row");
        const auto& action = words[0];
        const auto& table = words[1];
        if (table != "routes" && table != "pools")
            return usageError("'" + table + "' is not a table; use routes or pools");
        auto& rows = document[table];
        if (action == "add") {
            Json row = Json::object();
            const auto invalidWord = setFields(row, { words.begin() + 2, words.end() });
            if (!invalidWord.empty())
                return usageError("'" + invalidWord + "' is not FIELD=VALUE with a valid value");
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
            return usageError("'" + action + "' with these arguments is not a valid edit; use set, unset, add or remove");
        if (action == "unset") {
            unsetFields(*it, rest);
            return {};
        }
        const auto invalidWord = setFields(*it, rest);
        if (!invalidWord.empty())
            return usageError("'" + invalidWord + "' is not FIELD=VALUE with a valid value");
        return {};
    }

}

tl::expected<Tables, RowEditFailure> applyRowEdits(const Tables& tables, const std::vector<std::string>& arguments)
{
    auto document = Json::parse(formatTables(tables));
    auto begin = arguments.begin();
    while (true) {
        const auto end = std::find(begin, arguments.end(), "and");
        auto applied = applyEdit(document, { begin, end });
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

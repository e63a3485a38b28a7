#include "LargeTables.h"

#include <nlohmann/json.hpp>

namespace support {

using nlohmann::json;

namespace {

    json route(const std::string& name, const std::string& path, const std::string& kind, const std::string& pool, int attempts)
    {
        return { { "name", name }, { "host", "desk.example" }, { "pathPrefix", path }, { "kind", kind }, { "timeoutMs", LargeTables::timeout.count() },
            { "goalMs", 600 }, { "priority", 2 }, { "service", pool }, { "attempts", attempts }, { "public", true } };
    }

}

std::string LargeTables::text() const
{
    json out { { "version", version }, { "routes", json::array() }, { "services", json::array() }, { "tenants", json::array() },
        { "limits", { { "idleMs", idleTime.count() } } } };
    auto& routes = out["routes"];
    const auto marker = "v" + std::to_string(version);
    routes.push_back(route("look", "/look/", "idempotent", lookPool, 2));
    routes.push_back(route("book", "/book/", "non_idempotent", "desk", 1));
    routes.push_back(route(marker, "/" + marker + "/", "idempotent", "desk", 2));
    for (std::size_t i = 0; i < idleRoutes; ++i) {
        const auto number = std::to_string(10'000 + i);
        routes.push_back(route("idle-route-of-the-desk-" + number, "/idle/route-of-the-desk-" + number + "/", "idempotent", "desk", 2));
    }
    for (const auto* pool : { "desk", "counter" })
        out["services"].push_back({ { "name", pool }, { "maxConns", 200 } });
    return out.dump();
}

}

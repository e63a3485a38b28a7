#include "chiveshelf/control/ControlService.h"

#include "chiveshelf/core/Tasks.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace chiveshelf {

namespace asio = boost::asio;

ControlService::ControlService(PoolController::Ports ports)
    : m_ports(ports)
{
}

void ControlService::start()
{
    m_ports.tables.subscribe([this](const Tables& tables) { updateControllers(tables); });
    updateControllers(*m_ports.tables.snapshot());
}

void ControlService::updateControllers(const Tables& tables)
{
    const auto& dataCentre = m_ports.members.self().dataCentre;
    const auto isControlled = [&](const Pool& pool) {
        return pool.kind == PoolKind::Model
            && std::any_of(pool.runners.begin(), pool.runners.end(), [&](const Backend& runner) { return runner.dataCentre == dataCentre; });
    };
    std::erase_if(m_controllers, [&](const auto& entry) {
        const auto* pool = tables.findPool(entry.first);
        const bool isRemoved = !pool || !isControlled(*pool);
        if (isRemoved)
            entry.second->stop();
        return isRemoved;
    });
    for (const auto& pool : tables.pools) {
        if (!isControlled(pool) || m_controllers.contains(pool.name))
            continue;
        const auto controller = std::make_shared<PoolController>(m_ports, pool.name);
        m_controllers[pool.name] = controller;
        // The lambda keeps the controller alive until its task has ended.
        spawnLoop(m_ports.context, "pool_controller.run", [controller] { return controller->run(); });
    }
}

std::uint64_t ControlService::commandCount() const
{
    std::uint64_t sum = 0;
    for (const auto& [name, controller] : m_controllers)
        sum += controller->commandCount();
    return sum;
}

nlohmann::json ControlService::state() const
{
    auto out = nlohmann::json::object();
    for (const auto& [name, controller] : m_controllers)
        out[name] = controller->state();
    return out;
}

}

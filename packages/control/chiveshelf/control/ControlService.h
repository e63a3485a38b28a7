#pragma once

#include "chiveshelf/control/PoolController.h"

namespace chiveshelf {

// Runs a PoolController for each model pool with runners in this host's data centre. Construct it and call start().
class ControlService {
public:
    explicit ControlService(PoolController::Ports);
    ControlService(const ControlService&) = delete;
    ControlService& operator=(const ControlService&) = delete;

    void start();

    std::uint64_t commandCount() const;
    nlohmann::json state() const;

private:
    void matchTables(const Tables&);

    PoolController::Ports m_ports;
    std::map<std::string, std::shared_ptr<PoolController>> m_controllers;
};

}

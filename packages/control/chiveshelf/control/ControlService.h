#pragma once

#include "chiveshelf/control/PoolController.h"

namespace chiveshelf {

// Runs a PoolController for each model pool that has runners in this host's data centre. Construct it and call start().
class ControlService {
public:
    explicit ControlService(PoolController::Ports);
    ControlService(const ControlService&) = delete;
    ControlService& operator=(const ControlService&) = delete;

    void start();

    // Returns the number of commands sent to runners by the current controllers.
    std::uint64_t commandCount() const;

    // Returns the state of each controller by pool name, for the state dump.
    nlohmann::json state() const;

private:
    void updateControllers(const Tables&);

    PoolController::Ports m_ports;
    std::map<std::string, std::shared_ptr<PoolController>> m_controllers;
};

}

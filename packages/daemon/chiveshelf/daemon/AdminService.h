#pragma once

#include "chiveshelf/http/Server.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>

namespace chiveshelf {

// Callbacks of the admin listener's endpoints.
struct AdminHooks {
    std::function<nlohmann::json()> state;
    std::function<std::string()> metrics;
    std::function<bool()> isReady;
    std::function<void()> drain;
};

// HTTP listener for operators: /metrics, /state, /healthz, /readyz and POST /drain.
class AdminService {
public:
    AdminService(boost::asio::io_context&, AdminHooks);
    AdminService(const AdminService&) = delete;
    AdminService& operator=(const AdminService&) = delete;

    Result<void> start(const Address&);
    void stop();

private:
    boost::asio::awaitable<void> handle(http::Exchange&);
    http::Response makeAdminResponse(const http::Request&);

    AdminHooks m_hooks;
    http::Server m_server;
};

}

#pragma once

#include "chiveshelf/http/Server.h"
#include "fakes/FaultLink.h"

namespace fakes {

// Proxy with several fault links in one process. `PUT /links/NAME` with `listen` and `target` creates a link; later calls with
// the fields of FaultLink::apply() set its faults. `PUT /links` sets the faults of all links. `GET /links` returns their state.
class FaultProxy {
public:
    explicit FaultProxy(boost::asio::io_context&);

    // Starts to listen on the control port.
    chiveshelf::Result<void> start(const chiveshelf::Address&);

private:
    boost::asio::awaitable<void> handle(chiveshelf::http::Exchange&);
    chiveshelf::Result<void> configureLink(const std::string& name, const nlohmann::json&);

    boost::asio::io_context& m_context;
    chiveshelf::http::Server m_server;
    std::map<std::string, std::shared_ptr<FaultLink>> m_links;
};

}

#pragma once

#include "chiveshelf/http/Server.h"
#include "fakes/FaultLink.h"

namespace fakes {

// Several fault links in one process. `PUT /links/NAME` with `listen` and `target` makes a link; later ones with the fields of
// FaultLink::apply() switch its faults. `PUT /links` switches the faults of all links. `GET /links` shows them.
class FaultProxy {
public:
    explicit FaultProxy(boost::asio::io_context&);

    // Binds the control port.
    chiveshelf::Result<void> start(const chiveshelf::Address&);

private:
    boost::asio::awaitable<void> handle(chiveshelf::http::Exchange&);
    chiveshelf::Result<void> change(const std::string& name, const nlohmann::json&);

    boost::asio::io_context& m_context;
    chiveshelf::http::Server m_server;
    std::map<std::string, std::shared_ptr<FaultLink>> m_links;
};

}

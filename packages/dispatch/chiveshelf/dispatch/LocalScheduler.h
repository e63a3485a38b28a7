#pragma once

#include "chiveshelf/dispatch/PoolScheduler.h"
#include "chiveshelf/http/Client.h"
#include "chiveshelf/tables/TableStore.h"

#include <boost/asio/io_context.hpp>

namespace chiveshelf {

// Chooses runners on the entry host itself, for the policies without a common queue. For the least-loaded policy it polls the
// runners' load reports.
class LocalScheduler {
public:
    LocalScheduler(boost::asio::io_context&, http::Client&, TableStore&, PolicyKind, std::string dataCentre);
    LocalScheduler(const LocalScheduler&) = delete;
    LocalScheduler& operator=(const LocalScheduler&) = delete;

    void start();

    // Returns a grant immediately, or fails with NotRun.
    Result<Grant> grant(const Enqueue&);
    void finish(const Finished&);
    nlohmann::json state() const;

private:
    PoolScheduler& scheduler(const Pool&, std::uint64_t tablesRevision);
    boost::asio::awaitable<void> pollLoop();
    boost::asio::awaitable<void> poll(std::string pool, Backend);

    boost::asio::io_context& m_context;
    http::Client& m_client;
    TableStore& m_tables;
    PolicyKind m_kind;
    std::string m_dataCentre;
    std::map<std::string, PoolScheduler> m_pools;
};

}

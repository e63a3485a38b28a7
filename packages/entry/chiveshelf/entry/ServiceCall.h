#pragma once

#include "chiveshelf/entry/CallerRequest.h"
#include "chiveshelf/http/Client.h"
#include "chiveshelf/http/Server.h"
#include "chiveshelf/tables/Tables.h"

namespace chiveshelf {

// Forwards one request to a plain service with its method, path, headers and body. It is sent to a second runner only if the first
// has certainly not run it, or if the method or the pool allows a repetition and the request has no idempotency key.
class ServiceCall {
public:
    ServiceCall(http::Client&, CallerHeaders, Pool, std::string dataCentre);
    ServiceCall(const ServiceCall&) = delete;
    ServiceCall& operator=(const ServiceCall&) = delete;

    // Returns the service's response, or an error whose verdict states whether the request may have run.
    boost::asio::awaitable<Result<http::Response>> run(const http::Request&);

private:
    std::vector<Backend> candidates() const;

    http::Client& m_client;
    CallerHeaders m_headers;
    Pool m_pool;
    std::string m_dataCentre;
};

}

#pragma once

// HTTP/1.1 server and client with bounded message sizes, time limits on each step, pooled connections and server-sent events.
//
// Dependencies: core, Asio, Beast.

#include "chiveshelf/http/Client.h"
#include "chiveshelf/http/Message.h"
#include "chiveshelf/http/ResponseChecks.h"
#include "chiveshelf/http/Server.h"
#include "chiveshelf/http/SseParser.h"

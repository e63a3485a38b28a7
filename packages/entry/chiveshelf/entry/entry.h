#pragma once

// The interface to callers: accepts and validates requests, finds their route, requests a runner and streams the response. Every
// error response is JSON and states whether the request ran.
//
// Dependencies: dispatch, runner, tables, http.

#include "chiveshelf/entry/CallerRequest.h"
#include "chiveshelf/entry/EntryService.h"
#include "chiveshelf/entry/Refusal.h"

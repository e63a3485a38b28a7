#pragma once

// The interface to runners and its implementation over HTTP. To support another engine interface, add an adapter to this package.
//
// Dependencies: core, http.

#include "chiveshelf/runner/HttpRunner.h"
#include "chiveshelf/runner/RunnerPort.h"

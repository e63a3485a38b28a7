#pragma once

// Settings from command-line flags and environment variables. A flag takes precedence over its variable. Every value is
// checked, and all problems are reported together.
//
// Dependencies: core, getopt_long.

#include "chiveshelf/settings/OptionSet.h"

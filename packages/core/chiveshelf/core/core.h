#pragma once

// Core types that all other packages use: verdicts, errors, priority classes, addresses, hashes, budgets of held bytes and bodies, tasks, mailboxes and structured
// logs.
//
// Dependencies: Asio, Boost.Log, tl::expected, xxhash.

#include "chiveshelf/core/Address.h"
#include "chiveshelf/core/BodyBudget.h"
#include "chiveshelf/core/Error.h"
#include "chiveshelf/core/Hash.h"
#include "chiveshelf/core/HeldBytes.h"
#include "chiveshelf/core/HeldBytesBudget.h"
#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/LogThrottle.h"
#include "chiveshelf/core/LoopMonitor.h"
#include "chiveshelf/core/Mailbox.h"
#include "chiveshelf/core/MemoryPlan.h"
#include "chiveshelf/core/Priority.h"
#include "chiveshelf/core/StoredPrefix.h"
#include "chiveshelf/core/Tasks.h"
#include "chiveshelf/core/Time.h"
#include "chiveshelf/core/TimeLimit.h"
#include "chiveshelf/core/Verdict.h"

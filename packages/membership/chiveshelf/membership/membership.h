#pragma once

// Which hosts take part, and which host owns a role. Members are found and given up by a SWIM-style failure detector; the
// platform's list is one input. Roles are placed by rendezvous hashing, so that a change of one host moves only the roles of
// that host.
//
// Dependencies: core, peer, platform.

#include "chiveshelf/membership/FailureDetector.h"
#include "chiveshelf/membership/Member.h"
#include "chiveshelf/membership/MemberDirectory.h"
#include "chiveshelf/membership/MembershipService.h"
#include "chiveshelf/membership/RendezvousHash.h"

#pragma once

// Cluster membership and role ownership. A SWIM-style failure detector adds and removes members; the platform's host list is
// one of its inputs. Roles are assigned by rendezvous hashing, so that a change of one host moves only the roles of that host.
//
// Dependencies: core, peer, platform.

#include "chiveshelf/membership/FailureDetector.h"
#include "chiveshelf/membership/Member.h"
#include "chiveshelf/membership/MemberDirectory.h"
#include "chiveshelf/membership/MembershipService.h"
#include "chiveshelf/membership/RendezvousHash.h"

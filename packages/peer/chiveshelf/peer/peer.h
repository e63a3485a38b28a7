#pragma once

// Messages between hosts: typed requests and replies over one multiplexed TCP connection per pair of hosts, and typed UDP
// datagrams, both encoded with cereal's portable binary archive.
//
// Dependencies: core, Asio, cereal.

#include "chiveshelf/peer/Codec.h"
#include "chiveshelf/peer/DatagramChannel.h"
#include "chiveshelf/peer/MessageType.h"
#include "chiveshelf/peer/PeerClient.h"
#include "chiveshelf/peer/PeerServer.h"

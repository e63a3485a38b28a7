#pragma once

#include "chiveshelf/cache/BlockRecord.h"
#include "chiveshelf/core/Error.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <concepts>

namespace chiveshelf {

// Interface to the KV-cache stores. Runners transfer block data to and from stores directly; hosts only look up and commit
// blocks. lookUp() returns the records of complete blocks only. commit() makes a block available once the store holds `record` as
// the runner sent it; it fails with Conflict if the data is incomplete or the store has another generation.
template <typename T>
concept StorePort = requires(T& port, Address address, std::vector<std::string> keys, BlockRecord record)
{
    {
        port.lookUp(address, keys)
        } -> std::same_as<boost::asio::awaitable<Result<StoreLookup>>>;
    {
        port.commit(record)
        } -> std::same_as<boost::asio::awaitable<Result<void>>>;
};

}

#pragma once

#include "chiveshelf/routing/RoutingTables.h"

#include <concepts>
#include <type_traits>

namespace chiveshelf {

// Either T or const T.
template <typename T, typename Value>
concept MaybeConst = std::same_as<std::remove_const_t<T>, Value>;

// Pass the fields of the rows of the tables to an archive, in a fixed order. Used for transmission and for checksums.

template <typename Archive, MaybeConst<Address> Value>
void serialize(Archive& archive, Value& address)
{
    archive(address.ip, address.port);
}

template <typename Archive, MaybeConst<PoolShare> Value>
void serialize(Archive& archive, Value& share)
{
    archive(share.pool, share.weight);
}

template <typename Archive, MaybeConst<PathRoute> Value>
void serialize(Archive& archive, Value& route)
{
    archive(route.name, route.host, route.pathPrefix, route.kind, route.isResumable, route.isPublic, route.timeLimit, route.goal, route.longestPause,
        route.runLimit, route.priority, route.pools);
}

template <typename Archive, MaybeConst<EngineLimits> Value>
void serialize(Archive& archive, Value& engine)
{
    archive(engine.slots, engine.memoryTokens, engine.bytesPerToken, engine.linkMbps);
}

template <typename Archive, MaybeConst<WarmUpLimits> Value>
void serialize(Archive& archive, Value& limits)
{
    archive(limits.duration, limits.perSecond);
}

template <typename Archive, MaybeConst<CacheStore> Value>
void serialize(Archive& archive, Value& store)
{
    archive(store.address, store.dataCentre, store.memoryTokens, store.linkMbps, store.setUpMs);
}

template <typename Archive, MaybeConst<RegisteredPool> Value>
void serialize(Archive& archive, Value& pool)
{
    archive(pool.name, pool.maxConnections, pool.engine, pool.warmUp, pool.store);
}

template <typename Archive, MaybeConst<Organisation> Value>
void serialize(Archive& archive, Value& organisation)
{
    archive(organisation.name, organisation.keys, organisation.priority, organisation.isDedicated);
}

template <typename Archive, MaybeConst<CallerLimits> Value>
void serialize(Archive& archive, Value& limits)
{
    archive(limits.headerBytes, limits.bodyBytes, limits.headerTime, limits.idleTime);
}

}

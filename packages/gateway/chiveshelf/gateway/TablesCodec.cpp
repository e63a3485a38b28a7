#include "chiveshelf/gateway/TablesCodec.h"

#include "chiveshelf/peer/Codec.h"
#include "chiveshelf/routing/TableFields.h"

#include <cereal/types/chrono.hpp>

namespace chiveshelf {

std::string encodeTablesUpdate(const TablesUpdate& update)
{
    return peer::encode(update);
}

std::optional<TablesUpdate> decodeTablesUpdate(const std::string& bytes)
{
    return peer::decode<TablesUpdate>(bytes);
}

}

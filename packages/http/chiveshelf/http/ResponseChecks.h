#pragma once

namespace chiveshelf::http {

// Whether a status belongs to one of the classes that HTTP defines, 100 to 599. A response with any other status is not valid.
constexpr bool isValidStatus(unsigned status)
{
    return status >= 100 && status < 600;
}

}

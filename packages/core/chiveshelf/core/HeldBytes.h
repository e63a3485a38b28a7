#pragma once

#include "chiveshelf/core/HeldBytesBudget.h"

#include <memory>

namespace chiveshelf {

// The bytes that one request holds, counted against the budget of its process until they are given back or the object is destroyed.
class HeldBytes {
public:
    explicit HeldBytes(std::shared_ptr<HeldBytesBudget>);
    ~HeldBytes();
    HeldBytes(const HeldBytes&) = delete;
    HeldBytes& operator=(const HeldBytes&) = delete;

    // Sets the number of bytes held. Returns false and keeps the former number if the budget has no room for more.
    bool resize(std::size_t n);

private:
    std::shared_ptr<HeldBytesBudget> m_budget;
    // Bytes counted against the budget.
    std::size_t m_counted = 0;
};

}

#include "chiveshelf/core/HeldBytes.h"

#include <algorithm>
#include <utility>

namespace chiveshelf {

HeldBytes::HeldBytes(std::shared_ptr<HeldBytesBudget> budget)
    : m_budget(std::move(budget))
{
}

HeldBytes::~HeldBytes()
{
    m_budget->m_held -= m_counted;
}

bool HeldBytes::resize(std::size_t n)
{
    const auto counted = n - std::min(n, HeldBytesBudget::freeBytesPerHolder);
    const auto others = m_budget->m_held - m_counted;
    if (counted > m_counted && others + counted > m_budget->m_limit)
        return false;
    m_budget->m_held = others + counted;
    m_counted = counted;
    return true;
}

}

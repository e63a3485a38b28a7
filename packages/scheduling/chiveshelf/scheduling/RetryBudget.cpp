#include "chiveshelf/scheduling/RetryBudget.h"

#include <algorithm>

namespace chiveshelf {

RetryBudget::RetryBudget(double share, double reserve)
    : m_share(share)
    , m_reserve(reserve)
    , m_available(reserve)
{
}

void RetryBudget::onRequest()
{
    m_available = std::min(m_available + m_share, m_reserve);
}

bool RetryBudget::take()
{
    if (m_available < 1) {
        ++m_denied;
        return false;
    }
    m_available -= 1;
    return true;
}

}

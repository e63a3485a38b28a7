#include "chiveshelf/tables/TableStore.h"

namespace chiveshelf {

TableStore::TableStore()
    : m_tables(std::make_shared<const Tables>())
{
}

bool TableStore::updateIfNewer(Tables tables)
{
    if (tables.revision <= m_tables->revision)
        return false;
    m_tables = std::make_shared<const Tables>(std::move(tables));
    for (const auto& listener : m_listeners)
        listener(*m_tables);
    return true;
}

void TableStore::subscribe(Listener listener)
{
    m_listeners.push_back(std::move(listener));
}

}

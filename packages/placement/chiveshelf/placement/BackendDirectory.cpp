#include "chiveshelf/placement/BackendDirectory.h"

namespace chiveshelf {

void BackendDirectory::update(const std::map<std::string, RunnerRecord>& records, const std::function<std::int64_t(const std::string& pool)>& memoryOf)
{
    std::map<std::string, std::shared_ptr<BackendState>> runners;
    m_byNumber.clear();
    m_pools.clear();
    for (const auto& [id, record] : records) {
        const auto it = m_runners.find(id);
        const auto memory = memoryOf(record.pool);
        const bool isKnown = it != m_runners.end() && it->second->record().isSameIncarnation(record)
            && it->second->record().address == record.address && it->second->memoryTokens() == memory;
        auto runner = isKnown ? it->second : std::make_shared<BackendState>(record, memory);
        if (isKnown)
            runner->update(record);
        else if (it != m_runners.end() && !it->second->record().isSameIncarnation(record))
            it->second->setSuperseded();
        runners.emplace(id, runner);
        m_byNumber.emplace(runner->number(), runner);
        if (!runner->isLeaving())
            m_pools[record.pool].push_back(runner);
    }
    m_runners = std::move(runners);
}

const BackendDirectory::RunnerList& BackendDirectory::runnersOf(const std::string& pool) const
{
    static const RunnerList none;
    const auto it = m_pools.find(pool);
    return it == m_pools.end() ? none : it->second;
}

std::shared_ptr<BackendState> BackendDirectory::find(const std::string& id) const
{
    const auto it = m_runners.find(id);
    return it == m_runners.end() ? nullptr : it->second;
}

std::shared_ptr<BackendState> BackendDirectory::findByNumber(std::uint32_t number) const
{
    const auto it = m_byNumber.find(number);
    return it == m_byNumber.end() ? nullptr : it->second;
}

}

#pragma once

#include "chiveshelf/scheduling/RunnerChoice.h"

#include <map>

namespace chiveshelf {

// Limits the imports in flight per link. One import of each link's limit is reserved for urgent requests.
class LinkTracker {
public:
    explicit LinkTracker(std::size_t limit);

    bool mayStart(const std::string& link, Priority) const;
    void started(const std::string& requestId, const PlannedImport&);
    void finished(const std::string& requestId);
    std::size_t inFlight(const std::string& link) const;

private:
    std::size_t m_limit;
    std::map<std::string, std::size_t> m_inFlight;
    std::map<std::string, std::string> m_linkOf;
};

}

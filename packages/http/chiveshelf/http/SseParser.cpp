#include "chiveshelf/http/SseParser.h"

namespace chiveshelf::http {

std::optional<std::string> SseParser::next()
{
    while (true) {
        const auto end = m_buffer.find("\n\n", m_searchStart);
        if (end == std::string::npos) {
            // The last byte may be the first one of the boundary.
            m_searchStart = m_buffer.empty() ? 0 : m_buffer.size() - 1;
            return std::nullopt;
        }
        const std::string block = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        m_searchStart = 0;
        std::string data;
        std::size_t start = 0;
        while (start <= block.size()) {
            const auto lineEnd = std::min(block.find('\n', start), block.size());
            std::string_view line(block.data() + start, lineEnd - start);
            start = lineEnd + 1;
            if (!line.starts_with("data:"))
                continue;
            line.remove_prefix(line.starts_with("data: ") ? 6 : 5);
            if (!data.empty())
                data += '\n';
            data += line;
        }
        if (!data.empty())
            return data;
    }
}

std::string formatSseEvent(std::string_view data)
{
    return "data: " + std::string(data) + "\n\n";
}

}

#include "chiveshelf/gateway/SoftwareLedger.h"

#include <nlohmann/json.hpp>

namespace chiveshelf {

std::string encodeSoftwareRecord(const SoftwareRecord& record)
{
    return nlohmann::json { { "era", record.era }, { "versions", record.versions } }.dump();
}

std::optional<SoftwareRecord> decodeSoftwareRecord(std::string_view text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
        return std::nullopt;
    const auto era = document.find("era");
    const auto versions = document.find("versions");
    if (era == document.end() || !era->is_number_unsigned() || versions == document.end() || !versions->is_array())
        return std::nullopt;
    SoftwareRecord out { era->get<std::uint64_t>(), {} };
    for (const auto& version : *versions) {
        if (!version.is_string())
            return std::nullopt;
        out.versions.insert(version.get<std::string>());
    }
    return out;
}

}

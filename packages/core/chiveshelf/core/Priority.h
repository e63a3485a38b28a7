#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace chiveshelf {

// The three priority classes, most urgent first.
enum class Priority {
    Urgent,
    Standard,
    Batch,
};

constexpr std::size_t priorityCount = 3;
constexpr std::array<Priority, priorityCount> allPriorities { Priority::Urgent, Priority::Standard, Priority::Batch };

constexpr std::size_t priorityIndex(Priority priority)
{
    return static_cast<std::size_t>(priority);
}

// Returns the name used in headers, tables and logs.
constexpr std::string_view priorityName(Priority priority)
{
    constexpr std::array<std::string_view, priorityCount> names { "urgent", "standard", "batch" };
    return names[priorityIndex(priority)];
}

// Returns the class for a name, or nullopt if the name is unknown.
constexpr std::optional<Priority> priorityFromName(std::string_view name)
{
    for (const auto priority : allPriorities) {
        if (priorityName(priority) == name)
            return priority;
    }
    return std::nullopt;
}

}

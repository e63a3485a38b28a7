#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace chiveshelf {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

// A key=value pair of a log line. Values are quoted on output if they are empty or contain white space, quotes, `=` or `\`.
struct LogField {
    LogField(std::string_view name, std::string_view text)
        : key(name)
        , value(text)
    {
    }

    LogField(std::string_view name, const char* text)
        : key(name)
        , value(text)
    {
    }

    LogField(std::string_view name, const std::string& text)
        : key(name)
        , value(text)
    {
    }

    template <typename Number>
    requires std::integral<Number> || std::floating_point<Number>
    LogField(std::string_view name, Number number)
        : key(name)
        , value(std::to_string(number))
    {
    }

    std::string key;
    std::string value;
};

// Starts logging to stderr. Lines below `minimum` are discarded. A separate thread writes the lines; if the reader of stderr is too
// slow and the queue is full, further lines are discarded. Call this once at startup.
void initializeLog(std::string_view process, LogLevel minimum);

// Returns whether lines of this level are written, for callers whose fields are expensive to compute.
bool isLogged(LogLevel level);

// Writes one line of key=value pairs: time, level, process and event, followed by `fields`.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

}

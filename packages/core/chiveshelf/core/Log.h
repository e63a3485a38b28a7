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

// One key=value pair of a log line. Values with spaces or quotes are quoted on output.
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

// Sets up logging to stderr. Lines below `minimum` are dropped. Lines are written by a thread of their own; while the reader
// is slower than the process, lines beyond a bound are left out. Call once at start.
void initializeLog(std::string_view process, LogLevel minimum);

// Whether lines of this level are written, for callers whose fields are costly to make.
bool isLogged(LogLevel level);

// Writes one line of key=value pairs: time, level, process, event, then `fields`.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

}

#include "chiveshelf/core/Log.h"

#include <chrono>
#include <ctime>
#include <iostream>

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

namespace chiveshelf {

namespace {

    namespace sinks = boost::log::sinks;

    // Maximum number of lines that wait for a slow reader. A busy host writes about this many per second.
    constexpr std::size_t maxQueuedLines = 2'000;

    constexpr std::string_view levelNames[] = { "debug", "info", "warning", "error" };

    LogLevel minimumLevel = LogLevel::Info;
    std::string processName = "-";

    std::string quoted(const std::string& value)
    {
        if (!value.empty() && value.find_first_of(" \"=\\\n\r\t") == std::string::npos)
            return value;
        std::string out = "\"";
        for (const char c : value) {
            if (c == '"' || c == '\\')
                out += '\\';
            out += (c == '\n' || c == '\r') ? ' ' : c;
        }
        return out + '"';
    }

    std::string timestamp()
    {
        const auto now = std::chrono::system_clock::now();
        const auto seconds = std::chrono::system_clock::to_time_t(now);
        const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        char buf[64];
        const auto n = std::strftime(buf, sizeof(buf), "%Y-%m-%dT%H:%M:%S", &parts);
        std::snprintf(buf + n, sizeof(buf) - n, ".%03dZ", static_cast<int>(millis));
        return buf;
    }

}

void initializeLog(std::string_view process, LogLevel minimum)
{
    processName = process;
    minimumLevel = minimum;
    const auto backend = boost::make_shared<sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cerr, boost::null_deleter()));
    backend->auto_flush(true);
    const auto sink = boost::make_shared<sinks::asynchronous_sink<sinks::text_ostream_backend, sinks::bounded_fifo_queue<maxQueuedLines, sinks::drop_on_overflow>>>(backend);
    sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(sink);
    std::atexit([] {
        boost::log::core::get()->flush();
        boost::log::core::get()->remove_all_sinks();
    });
}

bool isLogged(LogLevel level)
{
    return level >= minimumLevel;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < minimumLevel)
        return;
    std::string line = "time=" + timestamp() + " level=" + std::string(levelNames[static_cast<int>(level)])
        + " process=" + processName + " event=" + std::string(event);
    for (const auto& field : fields)
        line += " " + field.key + "=" + quoted(field.value);
    static boost::log::sources::logger logger;
    BOOST_LOG(logger) << line;
}

}

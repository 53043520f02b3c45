// Boost.Log with one synchronous stderr sink: the platform's VMs collect stderr, and a line must be out before a process dies. Values are quoted only
// where needed so that lines can be read and also split by tools.

#include "kernel/log.h"

#include "kernel/buffered_output.h"

#include <array>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/frontend_requirements.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <iostream>
#include <unistd.h>

namespace reedtrail {
namespace {

namespace logging = boost::log;

constexpr std::array<std::string_view, 4> levelNames{ "debug", "info", "warning", "error" };

std::string &nodeName()
{
    static std::string name;
    return name;
}

log_level &lowestLevel()
{
    static log_level level = log_level::Info;
    return level;
}

constexpr std::size_t bufferedLogBytes = 256U << 10U; // A second of the busiest node's lines, at 200 bytes each.

buffered_output &standardOutput()
{
    static buffered_output output(STDOUT_FILENO, bufferedLogBytes);
    return output;
}

/** Hands formatted lines to the buffer. */
class buffer_backend : public logging::sinks::basic_formatted_sink_backend<char, logging::sinks::concurrent_feeding>
{
public:
    void consume(const logging::record_view &, const string_type &line)
    {
        standardOutput().add(line);
    }
};

logging::sources::severity_logger_mt<log_level> &logger()
{
    static logging::sources::severity_logger_mt<log_level> instance;
    return instance;
}

void appendField(std::string &line, std::string_view key, std::string_view value)
{
    line.append(" ").append(key).append("=");
    if (!value.empty() && value.find_first_of(" \"=\n\t\\") == std::string_view::npos) {
        line.append(value);
        return;
    }
    line += '"';
    for (const char letter : value) {
        if (letter == '\n') {
            line += "\\n";
            continue;
        }
        if (letter == '"' || letter == '\\') {
            line += '\\';
        }
        line += letter;
    }
    line += '"';
}

} // namespace

std::ostream &operator<<(std::ostream &out, log_level level)
{
    return out << levelNames[static_cast<std::size_t>(level)];
}

void startLogging(log_level level, std::string node)
{
    namespace expr = logging::expressions;
    lowestLevel() = level;
    nodeName() = std::move(node);
    logging::core::get()->remove_all_sinks();
    logging::add_common_attributes();
    logging::add_console_log(std::clog,
                             logging::keywords::auto_flush = true,
                             logging::keywords::format = (expr::stream << expr::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                                                                       << ' ' << expr::attr<log_level>("Severity") << ' ' << expr::smessage));
    logging::core::get()->set_filter(expr::attr<log_level>("Severity") >= level);
}

void startBufferedLogging(log_level level, std::string node)
{
    namespace expr = logging::expressions;
    lowestLevel() = level;
    nodeName() = std::move(node);
    logging::core::get()->remove_all_sinks();
    logging::add_common_attributes();
    // One thread logs in a process that buffers, so the sink takes no lock.
    using sink_type = logging::sinks::unlocked_sink<buffer_backend>;
    const auto sink = boost::make_shared<sink_type>(boost::make_shared<buffer_backend>());
    sink->set_formatter(expr::stream << expr::format_date_time<boost::posix_time::ptime>("TimeStamp", "%H:%M:%S.%f") << ' ' << expr::attr<log_level>("Severity")
                                     << ' ' << expr::smessage);
    logging::core::get()->add_sink(sink);
    logging::core::get()->set_filter(expr::attr<log_level>("Severity") >= level);
}

void flushLog()
{
    standardOutput().flush();
}

void logLine(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (level < lowestLevel()) {
        return;
    }
    std::string line(event);
    if (!nodeName().empty()) {
        appendField(line, "node", nodeName());
    }
    for (const log_field &field : fields) {
        appendField(line, field.key, field.value);
    }
    BOOST_LOG_SEV(logger(), level) << line;
}

std::optional<log_level> logLevelNamed(std::string_view name)
{
    for (std::size_t i = 0; i < levelNames.size(); ++i) {
        if (levelNames[i] == name) {
            return static_cast<log_level>(i);
        }
    }
    return std::nullopt;
}

} // namespace reedtrail

/**
 * @file
 * Structured log lines (Boost.Log): time, level, event, then key=value fields, one line each on stderr.
 *
 *     logLine(log_level::Warning, "server-ejected", {{"server", server.str()}, {"failures", std::to_string(count)}});
 *     // 2026-01-02T03:04:05.678901 warning server-ejected node=entry-a1 server=engine-3 failures=4
 */
#pragma once

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace reedtrail {

/** Severity of a line. */
enum class log_level { Debug, Info, Warning, Error };

/** One key=value of a line; values with spaces or quotes are quoted. */
struct log_field
{
    std::string_view key;
    std::string value;
};

/** Sets up logging for this process. @param level lines below it are dropped @param node added to each line; may be empty */
void startLogging(log_level level, std::string node);

/** Sets up logging on standard output through a bounded buffer; flushLog() empties it and must be called from time to time, and before the process ends. */
void startBufferedLogging(log_level level, std::string node);

/** Writes buffered lines as far as standard output takes them without waiting. */
void flushLog();

/** Writes a line. @param event stable name of what happened */
void logLine(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

/** Returns the level named "debug", "info", "warning" or "error". */
std::optional<log_level> logLevelNamed(std::string_view name);

} // namespace reedtrail

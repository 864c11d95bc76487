#pragma once

#include <string>
#include <string_view>

#include <fmt/format.h>
#include <fmt/ostream.h>

#include "Common/Error.h"
#include "Common/Ids.h"

namespace LaburnumChute::Common {

/// Component of the program that a line originates from. Each has a fixed prefix and its own level.
enum class LogType {
    Common,
    Configuration,
    Ledger,
    Cluster,
    Platform,
    Peers,
    Endpoints,
    Entry,
    Decisions,
    Gateway,
    Operator,
    StandIns,
    LoadTool
};
inline constexpr int LogTypeCount = 13;

enum class LogLevel { Debug, Info, Warning, Error, Off };

enum class LogFormat { Human, Json };

std::string_view toString(LogType type);
std::string_view toString(LogLevel level);
Result<LogLevel> parseLogLevel(std::string_view text);
Result<LogType> parseLogType(std::string_view text);

/// Sends the log to standard error in the given format. Must be called once, before other threads
/// are started.
void startLog(LogFormat format, LogLevel level);
/// Changes the level of one component at run time.
void setLogLevel(LogType type, LogLevel level);
LogLevel logLevel(LogType type);
/// Returns true if a line of this component and level would be written.
bool logEnabled(LogType type, LogLevel level);

/// Writes one line. The functions below should be preferred, since they format only lines that are
/// written.
void writeLog(LogType type, LogLevel level, std::string_view request, const std::string &text);

template <typename... Arguments>
void log(LogType type, LogLevel level, fmt::format_string<Arguments...> format,
         Arguments &&...arguments)
{
    if (logEnabled(type, level)) {
        writeLog(type, level, {}, fmt::format(format, std::forward<Arguments>(arguments)...));
    }
}

/// Like log(), with the id of the request that the line belongs to.
template <typename... Arguments>
void logRequest(LogType type, LogLevel level, const RequestId &request,
                fmt::format_string<Arguments...> format, Arguments &&...arguments)
{
    if (logEnabled(type, level)) {
        writeLog(type, level, request.text(),
                 fmt::format(format, std::forward<Arguments>(arguments)...));
    }
}

} // namespace LaburnumChute::Common

template <typename Tag>
struct fmt::formatter<LaburnumChute::Common::Name<Tag>> : fmt::formatter<std::string_view>
{
    template <typename Context>
    auto format(const LaburnumChute::Common::Name<Tag> &name, Context &context) const
    {
        return fmt::formatter<std::string_view>::format(name.text(), context);
    }
};

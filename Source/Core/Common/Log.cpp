#include "Common/Log.h"

#include <array>
#include <atomic>
#include <iostream>

#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_channel_logger.hpp>
#include <boost/log/utility/manipulators/add_value.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <nlohmann/json.hpp>

namespace LaburnumChute::Common {

namespace {

namespace Sinks = boost::log::sinks;
namespace Sources = boost::log::sources;

constexpr std::array<std::string_view, LogTypeCount> TypeNames = {
    "common", "configuration", "ledger",  "cluster",  "platform",  "peers",    "endpoints",
    "entry",  "decisions",     "gateway", "operator", "stand-ins", "load-tool"};
constexpr std::array<std::string_view, 5> LevelNames = {"debug", "info", "warning", "error", "off"};

using Logger = Sources::severity_channel_logger_mt<LogLevel, std::string>;

std::array<std::atomic<LogLevel>, LogTypeCount> &levels()
{
    static std::array<std::atomic<LogLevel>, LogTypeCount> values{};
    return values;
}

Logger &logger()
{
    static Logger instance;
    return instance;
}

template <typename Value>
Value attribute(const boost::log::record_view &record, const char *name)
{
    const auto reference = boost::log::extract<Value>(name, record);
    return reference ? *reference : Value();
}

std::string timeText(const boost::log::record_view &record)
{
    using boost::posix_time::ptime;
    return boost::posix_time::to_iso_extended_string(attribute<ptime>(record, "TimeStamp")) + "Z";
}

void formatHuman(const boost::log::record_view &record, boost::log::formatting_ostream &stream)
{
    const auto request = attribute<std::string>(record, "Request");
    stream << timeText(record) << ' ' << toString(attribute<LogLevel>(record, "Severity")) << " ["
           << attribute<std::string>(record, "Channel") << "] ";
    if (!request.empty()) {
        stream << "request " << request << ": ";
    }
    stream << attribute<std::string>(record, "Message");
}

void formatJson(const boost::log::record_view &record, boost::log::formatting_ostream &stream)
{
    nlohmann::json line = {{"time", timeText(record)},
                           {"level", toString(attribute<LogLevel>(record, "Severity"))},
                           {"part", attribute<std::string>(record, "Channel")},
                           {"text", attribute<std::string>(record, "Message")}};
    const auto request = attribute<std::string>(record, "Request");
    if (!request.empty()) {
        line["request"] = request;
    }
    stream << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

template <typename Enum, std::size_t Size>
Result<Enum> parseName(const std::array<std::string_view, Size> &names, std::string_view text,
                       std::string_view what)
{
    for (std::size_t index = 0; index < Size; ++index) {
        if (names[index] == text) {
            return static_cast<Enum>(index);
        }
    }
    return makeError(ErrorCode::InvalidArgument, fmt::format("\"{}\" is no {}", text, what));
}

} // namespace

std::string_view toString(LogType type)
{
    return TypeNames.at(static_cast<std::size_t>(type));
}

std::string_view toString(LogLevel level)
{
    return LevelNames.at(static_cast<std::size_t>(level));
}

Result<LogLevel> parseLogLevel(std::string_view text)
{
    return parseName<LogLevel>(LevelNames, text, "log level");
}

Result<LogType> parseLogType(std::string_view text)
{
    return parseName<LogType>(TypeNames, text, "part of the log");
}

void startLog(LogFormat format, LogLevel level)
{
    using Sink = Sinks::synchronous_sink<Sinks::text_ostream_backend>;
    const auto backend = boost::make_shared<Sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream *) {}));
    backend->auto_flush(true);
    const auto sink = boost::make_shared<Sink>(backend);
    sink->set_formatter(format == LogFormat::Json ? &formatJson : &formatHuman);
    boost::log::core::get()->remove_all_sinks();
    boost::log::core::get()->add_sink(sink);
    boost::log::core::get()->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
    for (auto &value : levels()) {
        value.store(level);
    }
}

void setLogLevel(LogType type, LogLevel level)
{
    levels().at(static_cast<std::size_t>(type)).store(level, std::memory_order_relaxed);
}

LogLevel logLevel(LogType type)
{
    return levels().at(static_cast<std::size_t>(type)).load(std::memory_order_relaxed);
}

bool logEnabled(LogType type, LogLevel level)
{
    return level >= logLevel(type);
}

void writeLog(LogType type, LogLevel level, std::string_view request, const std::string &text)
{
    BOOST_LOG_CHANNEL_SEV(logger(), std::string(toString(type)), level)
        << boost::log::add_value("Request", std::string(request)) << text;
}

} // namespace LaburnumChute::Common

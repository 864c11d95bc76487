#include "Relay/RelayOptions.h"

#include <boost/asio/ip/address_v4.hpp>

namespace LaburnumChute::Relay {

namespace {

using Common::Setting;

bool isIpAddress(const std::string &text)
{
    boost::system::error_code error;
    boost::asio::ip::make_address_v4(text, error);
    return !error;
}

const Setting<std::string> ConfigSetting{"config", "platform", "",
                                         "Settings file written by the platform", "a path"};
const Setting<std::int64_t> MetricsSetting{
    "metrics-port",
    "metrics",
    0,
    "Port for metrics and the state dump; 0 disables it",
    "a whole number from 0 to 65535",
    [](const std::int64_t &v) { return v >= 0 && v <= 65535; }};
const Setting<std::string> AdvertisedIpSetting{
    "advertised-ip",
    "network",
    "",
    "IP address at which other instances reach this one, if it is not the one that it listens on",
    "an IPv4 address",
    [](const std::string &text) { return text.empty() || isIpAddress(text); }};
const Setting<std::int64_t> LinesSetting{"log-lines-per-second",
                                         "logs",
                                         100,
                                         "Log lines per second for each event name",
                                         "a whole number above 0",
                                         [](const std::int64_t &v) { return v > 0; }};
const Setting<std::string> DecisionsSetting{
    "decisions",
    "decisions",
    "",
    "For experiments: scheduling options, NAME=VALUE separated by commas",
    "NAME=VALUE,NAME=VALUE; names and units: docs/operating/decisions.md",
    [](const std::string &text) {
        return Dispatch::withOverrides(Dispatch::DispatchOptions(), text).has_value();
    }};

} // namespace

void declareRelaySettings(Common::Settings &settings)
{
    settings.declare(ConfigSetting);
    settings.declare(MetricsSetting);
    settings.declare(AdvertisedIpSetting);
    settings.declare(LinesSetting);
    settings.declare(DecisionsSetting);
}

Common::Result<RelayOptions> readRelayOptions(const Common::Settings &settings)
{
    RelayOptions options;
    options.settingsPath = settings.get(ConfigSetting);
    if (options.settingsPath.empty()) {
        return Common::makeError(Common::ErrorCode::InvalidArgument,
                                 "--config: the value is missing; expected a path");
    }
    options.metricsPort = static_cast<std::uint16_t>(settings.get(MetricsSetting));
    options.advertisedIp = settings.get(AdvertisedIpSetting);
    constexpr double BurstSeconds = 2;
    options.log.linesPerSecond = static_cast<double>(settings.get(LinesSetting));
    options.log.burst = options.log.linesPerSecond * BurstSeconds;
    auto dispatch = Dispatch::withOverrides(options.dispatch, settings.get(DecisionsSetting));
    if (!dispatch) {
        return tl::unexpected(dispatch.error());
    }
    options.dispatch = *dispatch;
    return options;
}

} // namespace LaburnumChute::Relay

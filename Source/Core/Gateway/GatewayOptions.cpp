#include "Gateway/GatewayOptions.h"

#include "Async/Async.h"

namespace LaburnumChute::Gateway {

namespace {

using Common::milliseconds;
using Common::Setting;

constexpr const char *Identity = "identity";
constexpr const char *Addresses = "addresses";
constexpr const char *Platform = "platform";
constexpr const char *Callers = "callers";
constexpr const char *EndpointsPart = "endpoints";
constexpr const char *Logs = "logs";
constexpr const char *Shutdown = "shutdown";
constexpr const char *LedgerPart = "at-most-once requests";
constexpr const char *DecisionsPart = "decisions";

constexpr const char *ExpectedName = "a name";
constexpr const char *ExpectedAddress = "an address of the form ip:port";
constexpr const char *ExpectedDuration = "a duration above zero such as 250ms or 2s";

bool isAddress(const std::string &text)
{
    return text.empty() || Async::parseTcpAddress(text).has_value();
}

bool isPositive(const milliseconds &time)
{
    return time.count() > 0;
}

const Setting<std::string> InstanceIdSetting{"instance-id", Identity, "", "Name of this instance",
                                             ExpectedName};
const Setting<std::string> RegionSetting{"region", Identity, "", "Region of this instance",
                                         ExpectedName};
const Setting<std::string> DomainSetting{"failure-domain", Identity, "",
                                         "Failure domain of this instance", ExpectedName};

const Setting<std::string> HttpSetting{"http-address",   Addresses,
                                       "127.0.0.1:8080", "HTTP address for callers",
                                       ExpectedAddress,  &isAddress};
const Setting<std::string> OperatorSetting{"operator-address", Addresses,
                                           "127.0.0.1:8081",   "HTTP address for operators",
                                           ExpectedAddress,    &isAddress};
const Setting<std::string> GossipSetting{"gossip-address", Addresses,
                                         "127.0.0.1:8082", "UDP address for other instances",
                                         ExpectedAddress,  &isAddress};
const Setting<std::string> ChannelSetting{"channel-address", Addresses,
                                          "127.0.0.1:8083",  "TCP address for other instances",
                                          ExpectedAddress,   &isAddress};

const Setting<std::string> ConfigurationSetting{
    "configuration-service", Platform,  "", "Address of the configuration service",
    ExpectedAddress,         &isAddress};
const Setting<std::string> InstanceListSetting{
    "instance-list", Platform, "", "Address of the instance list", ExpectedAddress, &isAddress};
const Setting<std::string> WeightStoreSetting{
    "weight-store", Platform, "", "Address of the weight store", ExpectedAddress, &isAddress};
const Setting<milliseconds> ListIntervalSetting{
    "instance-list-interval", Platform,
    milliseconds(1000),       "Interval between reads of the instance list",
    ExpectedDuration,         &isPositive};

const Setting<milliseconds> IdleSetting{
    "caller-idle-timeout", Callers,
    milliseconds(60000),   "Idle time before a caller's connection is closed",
    ExpectedDuration,      &isPositive};
const Setting<milliseconds> BodySetting{
    "caller-body-timeout", Callers,    milliseconds(15000), "Timeout for receiving a request body",
    ExpectedDuration,      &isPositive};
const Setting<milliseconds> WriteSetting{
    "caller-write-timeout", Callers,
    milliseconds(30000),    "Time after which a caller that takes no bytes is given up",
    ExpectedDuration,       &isPositive};
const Setting<std::int64_t> BodyLimitSetting{
    "caller-body-limit",
    Callers,
    4194304,
    "Largest size of a request's body in bytes",
    "a whole number from 1 to 8000000",
    [](const std::int64_t &v) { return v > 0 && v <= 8000000; }};
const Setting<std::int64_t> ConnectionLimitSetting{"caller-connection-limit",
                                                   Callers,
                                                   20000,
                                                   "Largest number of open caller connections",
                                                   "a whole number above 0",
                                                   [](const std::int64_t &v) { return v > 0; }};
const Setting<std::int64_t> MemorySetting{
    "memory-budget",
    Callers,
    67108864,
    "Memory for requests, and answers of unknown size, of all callers together in bytes",
    "a whole number of at least 8000000, for one request of the largest size",
    [](const std::int64_t &v) { return v >= 8000000; }};
const Setting<milliseconds> AdviceSetting{
    "advice-lifetime",  Callers,
    milliseconds(5000), "How long callers may cache the response of /v1/entries",
    ExpectedDuration,   &isPositive};

const Setting<milliseconds> SilenceSetting{
    "engine-silence-timeout",
    EndpointsPart,
    milliseconds(3000),
    "Silence of an engine before the stream is resumed on a new connection",
    ExpectedDuration,
    &isPositive};
const Setting<milliseconds> ServiceTimeoutSetting{
    "service-timeout", EndpointsPart, milliseconds(30000), "Timeout for a service's response",
    ExpectedDuration,  &isPositive};
const Setting<milliseconds> ConnectSetting{
    "endpoint-connect-timeout", EndpointsPart,
    milliseconds(1000),         "Timeout for connecting to an endpoint",
    ExpectedDuration,           &isPositive};
const Setting<milliseconds> CancelSetting{
    "cancel-timeout",   EndpointsPart,
    milliseconds(1000), "Timeout for an engine to confirm a cancellation",
    ExpectedDuration,   &isPositive};
const Setting<milliseconds> LoadSetting{
    "load-interval",   EndpointsPart,
    milliseconds(250), "Interval between reads of an endpoint's load report",
    ExpectedDuration,  &isPositive};
const Setting<milliseconds> CacheSetting{
    "cache-event-interval", EndpointsPart,
    milliseconds(500),      "Interval between reads of an engine's cache events",
    ExpectedDuration,       &isPositive};

const Setting<std::string> LogLevelSetting{
    "log-level",
    Logs,
    "info",
    "Lowest level that is logged",
    "debug, info, warning, error or off",
    [](const std::string &v) { return Common::parseLogLevel(v).has_value(); }};
const Setting<std::string> LogFormatSetting{
    "log-format",    Logs,
    "human",         "Format of log lines",
    "human or json", [](const std::string &v) { return v == "human" || v == "json"; }};

const Setting<milliseconds> DrainNoticeSetting{"drain-notice",
                                               Shutdown,
                                               milliseconds(6000),
                                               "Time for callers to switch to other instances "
                                               "before connections are closed after their response",
                                               ExpectedDuration,
                                               &isPositive};
const Setting<milliseconds> DrainTimeoutSetting{
    "drain-timeout",      Shutdown,
    milliseconds(120000), "Longest wait for requests in flight at shutdown",
    ExpectedDuration,     &isPositive};

const Setting<std::int64_t> ThreadsSetting{"threads",
                                           "process",
                                           2,
                                           "Number of threads that serve requests",
                                           "a whole number from 1 to 64",
                                           [](const std::int64_t &v) { return v > 0 && v <= 64; }};

const Setting<std::string> PolicySetting{
    "routing-policy",
    DecisionsPart,
    "expected-cost",
    "Policy for choosing an endpoint; all but the first are baselines that dispatch immediately",
    "expected-cost, round-robin, least-in-flight or random-of-two",
    [](const std::string &v) {
        return v == "expected-cost" || v == "round-robin" || v == "least-in-flight"
               || v == "random-of-two";
    }};

const Setting<milliseconds> KeyLifetimeSetting{
    "idempotency-key-lifetime",
    LedgerPart,
    std::chrono::duration_cast<milliseconds>(Ledger::LedgerOptions().keyLifetime),
    "Time within which an idempotency key must first be used",
    ExpectedDuration,
    &isPositive};
const Setting<milliseconds> KeptAnswerSetting{
    "idempotency-answer-time",
    LedgerPart,
    std::chrono::duration_cast<milliseconds>(Ledger::LedgerOptions().keptAnswerTime),
    "Time for which responses are stored for repeated requests",
    ExpectedDuration,
    &isPositive};
const Setting<milliseconds> DuplicateWindowSetting{
    "duplicate-order-window",
    LedgerPart,
    std::chrono::duration_cast<milliseconds>(Ledger::LedgerOptions().duplicateWindow),
    "Time in which the same order under a new key counts as a duplicate; 0ms disables the check",
    ExpectedDuration,
    [](const milliseconds &v) { return v >= milliseconds(0); }};
const Setting<std::int64_t> LedgerRecordsSetting{
    "idempotency-records",
    LedgerPart,
    static_cast<std::int64_t>(Ledger::LedgerOptions().maxRecords),
    "Used keys that are remembered at most, about 0.3 KB each; when full, new keys are rejected",
    "a whole number from 1 to 10000000",
    [](const std::int64_t &v) { return v > 0 && v <= 10'000'000; }};

Decisions::SchedulerOptions schedulerOptions(const std::string &policy)
{
    if (policy == "round-robin") {
        return Decisions::baselineOptions(Decisions::RoundRobinPolicy{});
    }
    if (policy == "least-in-flight") {
        return Decisions::baselineOptions(Decisions::LeastInFlightPolicy{});
    }
    if (policy == "random-of-two") {
        return Decisions::baselineOptions(Decisions::RandomOfTwoPolicy{});
    }
    Decisions::SchedulerOptions options;
    // CallRunner does not support hedged attempts yet.
    options.retry.hedgeAfter = 0;
    return options;
}

Common::Result<void> requireText(const Common::Settings &settings,
                                 const Setting<std::string> &setting)
{
    if (settings.get(setting).empty()) {
        return Common::makeError(Common::ErrorCode::InvalidArgument,
                                 std::string("--") + setting.name
                                     + ": the value is missing; expected " + setting.expected);
    }
    return {};
}

} // namespace

void declareGatewaySettings(Common::Settings &settings)
{
    for (const auto *setting : {&InstanceIdSetting, &RegionSetting, &DomainSetting, &HttpSetting,
                                &OperatorSetting, &GossipSetting, &ChannelSetting,
                                &ConfigurationSetting, &InstanceListSetting, &WeightStoreSetting}) {
        settings.declare(*setting);
    }
    settings.declare(ListIntervalSetting);
    for (const auto *setting : {&IdleSetting, &BodySetting, &WriteSetting, &AdviceSetting}) {
        settings.declare(*setting);
    }
    settings.declare(BodyLimitSetting);
    settings.declare(ConnectionLimitSetting);
    settings.declare(MemorySetting);
    for (const auto *setting : {&SilenceSetting, &ServiceTimeoutSetting, &ConnectSetting,
                                &CancelSetting, &LoadSetting, &CacheSetting}) {
        settings.declare(*setting);
    }
    settings.declare(LogLevelSetting);
    settings.declare(LogFormatSetting);
    settings.declare(DrainNoticeSetting);
    settings.declare(DrainTimeoutSetting);
    for (const auto *setting : {&KeyLifetimeSetting, &KeptAnswerSetting, &DuplicateWindowSetting}) {
        settings.declare(*setting);
    }
    settings.declare(LedgerRecordsSetting);
    settings.declare(ThreadsSetting);
    settings.declare(PolicySetting);
}

Common::Result<GatewayOptions> readGatewayOptions(const Common::Settings &settings)
{
    for (const auto *setting : {&InstanceIdSetting, &RegionSetting, &DomainSetting,
                                &ConfigurationSetting, &InstanceListSetting}) {
        if (const auto given = requireText(settings, *setting); !given) {
            return tl::unexpected(given.error());
        }
    }
    GatewayOptions options;
    options.instance = Common::InstanceId(settings.get(InstanceIdSetting));
    options.region = Common::RegionName(settings.get(RegionSetting));
    options.failureDomain = Common::FailureDomainName(settings.get(DomainSetting));
    options.httpAddress = settings.get(HttpSetting);
    options.operatorAddress = settings.get(OperatorSetting);
    options.gossipAddress = settings.get(GossipSetting);
    options.channelAddress = settings.get(ChannelSetting);
    options.configurationService = settings.get(ConfigurationSetting);
    options.instanceList = settings.get(InstanceListSetting);
    options.weightStore = settings.get(WeightStoreSetting);
    options.threads = settings.get(ThreadsSetting);
    options.logLevel = *Common::parseLogLevel(settings.get(LogLevelSetting));
    options.logFormat = settings.get(LogFormatSetting) == "json" ? Common::LogFormat::Json
                                                                 : Common::LogFormat::Human;
    options.instanceListInterval = settings.get(ListIntervalSetting);
    options.loadInterval = settings.get(LoadSetting);
    options.cacheEventInterval = settings.get(CacheSetting);
    options.adviceLifetime = settings.get(AdviceSetting);
    options.drainNotice = settings.get(DrainNoticeSetting);
    options.drainTimeout = settings.get(DrainTimeoutSetting);
    options.cancelTimeout = settings.get(CancelSetting);
    options.http.idleTimeout = settings.get(IdleSetting);
    options.http.bodyTimeout = settings.get(BodySetting);
    options.http.writeTimeout = settings.get(WriteSetting);
    options.http.bodyLimitBytes = static_cast<std::uint64_t>(settings.get(BodyLimitSetting));
    options.http.connectionLimit = settings.get(ConnectionLimitSetting);
    options.memoryBudgetBytes = static_cast<std::size_t>(settings.get(MemorySetting));
    options.stream.silenceTimeout = settings.get(SilenceSetting);
    options.stream.serviceTimeout = settings.get(ServiceTimeoutSetting);
    options.pool.connectTimeout = settings.get(ConnectSetting);
    options.scheduler = schedulerOptions(settings.get(PolicySetting));
    options.ledger.keyLifetime = settings.get(KeyLifetimeSetting);
    options.ledger.keptAnswerTime = settings.get(KeptAnswerSetting);
    options.ledger.duplicateWindow = settings.get(DuplicateWindowSetting);
    options.ledger.maxRecords = static_cast<std::size_t>(settings.get(LedgerRecordsSetting));
    return options;
}

} // namespace LaburnumChute::Gateway

#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "Common/Common.h"
#include "Gateway/Gateway.h"
#include "Operator/Operator.h"
#include "Relay/Relay.h"
#include "platform/Platform.h"

namespace {

namespace Common = LaburnumChute::Common;
namespace Gateway = LaburnumChute::Gateway;
namespace Operator = LaburnumChute::Operator;
namespace Platform = LaburnumChute::Platform;
namespace Relay = LaburnumChute::Relay;

int runGateway(const Operator::Invocation &invocation)
{
    if (!invocation.words.empty()) {
        return Operator::complain(invocation, "gateway: expected no further words",
                                  Operator::StatusUsage);
    }
    const auto options = Gateway::readGatewayOptions(invocation.settings);
    if (!options) {
        return Operator::complain(invocation, options.error().message, Operator::StatusUsage);
    }
    Common::startLog(options->logFormat, options->logLevel);
    Gateway::Gateway gateway(*options);
    const auto started = gateway.start();
    if (!started) {
        return Operator::complain(invocation, started.error().message, Operator::StatusRefused);
    }
    invocation.out << *started << std::endl;
    gateway.run();
    return Operator::StatusDone;
}

Operator::Verb gatewayVerb()
{
    Operator::Verb verb;
    verb.name = "gateway";
    verb.summary = "Run an entry instance";
    verb.description = "Prints its addresses as one line of JSON once it listens, and serves until "
                       "SIGTERM, SIGINT or an operator's drain; it then shuts down without cutting "
                       "off a request in flight, within the drain timeout.";
    verb.statuses = {
        {Operator::StatusDone, "it has shut down"},
        {Operator::StatusRefused, "it could not start, say because an address is taken"},
        {Operator::StatusUsage, "a word or a setting is wrong"}};
    verb.declareSettings = Gateway::declareGatewaySettings;
    verb.run = runGateway;
    return verb;
}

Common::Result<LaburnumChute::Catalog::InstanceSettings> readSettingsFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return Common::makeError(Common::ErrorCode::InvalidArgument,
                                 "--config: the file " + path + " cannot be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    auto settings = Platform::readSettings(text.str());
    if (!settings) {
        settings.error().message = path + ": " + settings.error().message;
    }
    return settings;
}

int runRelay(const Operator::Invocation &invocation)
{
    if (!invocation.words.empty()) {
        return Operator::complain(invocation, "relay: expected no further words",
                                  Operator::StatusUsage);
    }
    const auto options = Relay::readRelayOptions(invocation.settings);
    if (!options) {
        return Operator::complain(invocation, options.error().message, Operator::StatusUsage);
    }
    const auto settings = readSettingsFile(options->settingsPath);
    if (!settings) {
        return Operator::complain(invocation, settings.error().message, Operator::StatusUsage);
    }
    Relay::RelayGateway gateway(*options, *settings);
    if (const auto started = gateway.start(); !started) {
        return Operator::complain(invocation, started.error().message, Operator::StatusRefused);
    }
    gateway.run();
    return Operator::StatusDone;
}

Operator::Verb relayVerb()
{
    Operator::Verb verb;
    verb.name = "relay";
    verb.summary = "Run an instance that relays requests by host and path";
    verb.description =
        "Takes its identity, addresses and bounds from the settings file that the "
        "platform writes, and routes and endpoints from the platform's store. Writes "
        "its log as lines of JSON to standard output. SIGTERM ends it without "
        "cutting off a request; SIGHUP, or a change of the file, makes it read the "
        "settings again.";
    verb.statuses = {
        {Operator::StatusDone, "it has shut down"},
        {Operator::StatusRefused, "it could not start, say because an address is taken"},
        {Operator::StatusUsage, "a word or a setting is wrong"}};
    verb.declareSettings = Relay::declareRelaySettings;
    verb.run = runRelay;
    return verb;
}

} // namespace

int main(int argc, char **argv)
{
    auto verbs = Operator::withOperatorVerbs(gatewayVerb());
    verbs.insert(verbs.begin() + 1, relayVerb());
    const Operator::CommandLine commandLine(std::move(verbs), std::cout, std::cerr);
    return commandLine.run(std::vector<std::string>(argv + 1, argv + argc),
                           Common::processEnvironment());
}

#include <iostream>
#include <string>
#include <vector>

#include "Common/Common.h"
#include "Gateway/Gateway.h"
#include "Operator/Operator.h"

namespace {

namespace Common = LaburnumChute::Common;
namespace Gateway = LaburnumChute::Gateway;
namespace Operator = LaburnumChute::Operator;

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

} // namespace

int main(int argc, char **argv)
{
    const Operator::CommandLine commandLine(Operator::withOperatorVerbs(gatewayVerb()), std::cout,
                                            std::cerr);
    return commandLine.run(std::vector<std::string>(argv + 1, argv + argc),
                           Common::processEnvironment());
}

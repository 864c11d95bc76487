#include <iostream>
#include <string>
#include <vector>

#include "Common/Common.h"
#include "Gateway/Gateway.h"

namespace {

namespace Common = LaburnumChute::Common;
namespace Gateway = LaburnumChute::Gateway;

constexpr int StatusFailed = 1;
constexpr int StatusUsage = 2;
constexpr const char *Usage = "usage: laburnumchute gateway [settings]\n";

int complain(const std::string &message, int status)
{
    std::cerr << "laburnumchute: " << message << '\n';
    return status;
}

int runGateway(const Common::Settings &settings)
{
    const auto options = Gateway::readGatewayOptions(settings);
    if (!options) {
        return complain(options.error().message, StatusUsage);
    }
    Common::startLog(options->logFormat, options->logLevel);
    Gateway::Gateway gateway(*options);
    const auto started = gateway.start();
    if (!started) {
        return complain(started.error().message, StatusFailed);
    }
    std::cout << *started << std::endl;
    gateway.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    Common::Settings settings;
    Gateway::declareGatewaySettings(settings);
    const auto words = settings.parse(std::vector<std::string>(argv + 1, argv + argc),
                                      Common::processEnvironment());
    if (!words) {
        return complain(words.error().message, StatusUsage);
    }
    if (settings.helpWanted()) {
        std::cout << Usage << settings.helpText();
        return 0;
    }
    if (words->size() != 1 || words->front() != "gateway") {
        return complain("expected the verb gateway; --help says more", StatusUsage);
    }
    return runGateway(settings);
}

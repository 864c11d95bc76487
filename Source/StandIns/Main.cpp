// laburnumchute-standins SCENARIO.json: plays engines, services and the platform for tests and the
// demo. Prints one line of JSON with the addresses of all it started, then runs until SIGTERM.

#include <fstream>
#include <iostream>

#include "StandIns/Host.h"

int main(int argc, char **argv)
{
    using namespace LaburnumChute;
    if (argc != 2) {
        std::cerr << "usage: laburnumchute-standins SCENARIO.json\n";
        return 2;
    }
    std::ifstream file(argv[1]);
    const auto scenario = nlohmann::json::parse(file, nullptr, false);
    if (!scenario.is_object()) {
        std::cerr << "laburnumchute-standins: " << argv[1] << " is not a JSON object\n";
        return 2;
    }
    Common::startLog(Common::LogFormat::Human, Common::LogLevel::Info);
    boost::asio::io_context context(1);
    StandIns::Host host(context, scenario);
    host.start();
    std::cout << host.addresses().dump() << std::endl;
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
    context.run();
    return 0;
}

#include <iostream>
#include <string>
#include <vector>

#include "Common/Common.h"

int main(int argc, char **argv)
{
    using namespace LaburnumChute;
    Common::Settings settings;
    const auto words = settings.parse(std::vector<std::string>(argv + 1, argv + argc),
                                      Common::processEnvironment());
    if (!words) {
        std::cerr << "laburnumchute: " << words.error().message << '\n';
        return 2;
    }
    std::cout << settings.helpText();
    return 0;
}

// The configuration reader: any bytes are accepted or refused with reasons, and a patch of any
// bytes leaves the reader intact.

#include <cstdint>
#include <cstdlib>

#include "Configuration/Configuration.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace LaburnumChute::Configuration;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto report = check(text);
    if ((report.configuration != nullptr) != report.problems.empty()) {
        std::abort();
    }
    if (report.configuration) {
        (void)checkChange(*report.configuration, *report.configuration);
    }
    if (const auto patched = applyPatch(R"({"a": {"b": [1, 2]}})", text)) {
        (void)check(*patched);
    }
    return 0;
}

// The reader of the platform's instance list.

#include <cstdint>
#include <cstdlib>

#include "Readers/InstanceList.h"

// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace LaburnumChute::Readers;
    const auto list = parseInstanceList({reinterpret_cast<const char *>(data), size});
    if (!list) {
        return 0;
    }
    for (const auto &endpoint : list->endpoints) {
        if (endpoint.id.empty() || endpoint.http.empty()) {
            std::abort();
        }
    }
    return 0;
}

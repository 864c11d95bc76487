// The decoder of frames on the channels between instances.

#include <cstdint>

#include "Peers/ChannelFrames.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace LaburnumChute::Peers;
    const auto frame = decodeFrame({reinterpret_cast<const char *>(data), size});
    if (frame) {
        (void)encodeFrame(*frame);
    }
    return 0;
}

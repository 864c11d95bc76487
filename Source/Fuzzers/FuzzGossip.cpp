// The decoder of gossip datagrams. The input is taken once as a datagram and once as the payload of
// one whose tag and checksum are right, since the fuzzer cannot guess a checksum.

#include <cstdint>
#include <cstdlib>
#include <string>

#include "Cluster/Cluster.h"
#include "Common/Common.h"

namespace {

using namespace LaburnumChute;

constexpr std::size_t TagBytes = 4;
constexpr std::size_t ChecksumBytes = 8;

std::string datagramOf(std::string_view payload)
{
    // The tag of this format, taken from a datagram of its own.
    static const std::string tag = Cluster::encode({}).substr(0, TagBytes);
    const auto checksum = Common::stableHash(payload);
    std::string datagram = tag;
    for (std::size_t index = 0; index < ChecksumBytes; ++index) {
        datagram.push_back(static_cast<char>(checksum >> (8 * index)));
    }
    return datagram.append(payload);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    (void)Cluster::decode(bytes);
    const auto message = Cluster::decode(datagramOf(bytes));
    if (!message) {
        return 0;
    }
    // What was read can be written and read again, and is then the same.
    const auto written = Cluster::encode(*message);
    const auto again = Cluster::decode(written);
    if (!again || Cluster::encode(*again) != written) {
        std::abort();
    }
    return 0;
}

#include "Peers/Compression.h"

#include <stdexcept>
#include <zlib.h>

namespace LaburnumChute::Peers {

namespace {

/// First size of the output buffer, as a multiple of the input; records compress about fivefold.
constexpr std::size_t ExpectedRatio = 6;
constexpr std::size_t MinBufferBytes = 1024;

} // namespace

std::string compress(std::string_view bytes)
{
    auto size = compressBound(bytes.size());
    std::string compressed(size, '\0');
    const auto status =
        compress2(reinterpret_cast<Bytef *>(compressed.data()), &size,
                  reinterpret_cast<const Bytef *>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    if (status != Z_OK) {
        throw std::runtime_error("zlib cannot compress: out of memory");
    }
    compressed.resize(size);
    return compressed;
}

Common::Result<std::string> decompress(std::string_view compressed, std::size_t maxBytes)
{
    auto capacity = std::max(MinBufferBytes, compressed.size() * ExpectedRatio);
    while (true) {
        capacity = std::min(capacity, maxBytes);
        std::string bytes(capacity, '\0');
        uLongf size = capacity;
        const auto status =
            uncompress(reinterpret_cast<Bytef *>(bytes.data()), &size,
                       reinterpret_cast<const Bytef *>(compressed.data()), compressed.size());
        if (status == Z_OK) {
            bytes.resize(size);
            return bytes;
        }
        if (status != Z_BUF_ERROR || capacity == maxBytes) {
            return Common::makeError(Common::ErrorCode::ProtocolViolation,
                                     "compressed data is invalid or too large");
        }
        capacity *= 2;
    }
}

} // namespace LaburnumChute::Peers

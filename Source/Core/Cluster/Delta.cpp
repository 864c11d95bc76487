#include "Cluster/Delta.h"

#include <algorithm>
#include <cstdint>
#include <sstream>
#include <unordered_map>

#include <cereal/archives/portable_binary.hpp>

#include "Common/Hash.h"

namespace LaburnumChute::Cluster {

namespace {

/// Length of the blocks of the base that are indexed. Shorter blocks find more matches but need a
/// larger index; an entry of the configuration is about this long.
constexpr std::size_t BlockBytes = 64;
/// Multiplier of the polynomial rolling hash.
constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15ull;

std::uint64_t polynomialHash(std::string_view bytes)
{
    std::uint64_t hash = 0;
    for (const char byte : bytes) {
        hash = hash * Multiplier + static_cast<unsigned char>(byte) + 1;
    }
    return hash;
}

std::uint64_t highestPower()
{
    std::uint64_t power = 1;
    for (std::size_t i = 1; i < BlockBytes; ++i) {
        power *= Multiplier;
    }
    return power;
}

class DeltaWriter
{
public:
    DeltaWriter()
        : archive_(stream_)
    {
    }
    void insert(std::string_view bytes)
    {
        if (!bytes.empty()) {
            write(0, 0, bytes);
        }
    }
    void copy(std::size_t offset, std::size_t size)
    {
        write(static_cast<std::uint32_t>(offset), static_cast<std::uint32_t>(size), {});
    }
    std::string text() const
    {
        return stream_.str();
    }

private:
    /// An instruction that copies size bytes from the base and then inserts bytes; either part may
    /// be empty.
    void write(std::uint32_t offset, std::uint32_t size, std::string_view inserted)
    {
        const auto insertedSize = static_cast<std::uint32_t>(inserted.size());
        archive_(offset, size, insertedSize);
        archive_(cereal::binary_data(inserted.data(), inserted.size()));
    }

    std::ostringstream stream_;
    cereal::PortableBinaryOutputArchive archive_;
};

std::unordered_map<std::uint64_t, std::size_t> indexBlocks(std::string_view base)
{
    std::unordered_map<std::uint64_t, std::size_t> index;
    index.reserve(base.size() / BlockBytes);
    for (std::size_t position = 0; position + BlockBytes <= base.size(); position += BlockBytes) {
        index.emplace(polynomialHash(base.substr(position, BlockBytes)), position);
    }
    return index;
}

std::size_t commonLength(std::string_view a, std::string_view b)
{
    const auto end = std::mismatch(a.begin(), a.begin() + std::min(a.size(), b.size()), b.begin());
    return static_cast<std::size_t>(end.first - a.begin());
}

} // namespace

std::string makeDelta(std::string_view base, std::string_view target)
{
    const auto index = indexBlocks(base);
    const std::uint64_t power = highestPower();
    DeltaWriter writer;
    std::size_t literalStart = 0;
    std::size_t position = 0;
    std::uint64_t hash = 0;
    bool hashValid = false;
    while (position + BlockBytes <= target.size()) {
        if (!hashValid) {
            hash = polynomialHash(target.substr(position, BlockBytes));
            hashValid = true;
        }
        const auto found = index.find(hash);
        const std::size_t length = found == index.end() ? 0
                                                        : commonLength(base.substr(found->second),
                                                                       target.substr(position));
        if (length >= BlockBytes) {
            writer.insert(target.substr(literalStart, position - literalStart));
            writer.copy(found->second, length);
            position += length;
            literalStart = position;
            hashValid = false;
            continue;
        }
        const auto first = static_cast<unsigned char>(target[position]) + 1u;
        if (position + BlockBytes < target.size()) {
            const auto next = static_cast<unsigned char>(target[position + BlockBytes]) + 1u;
            hash = (hash - first * power) * Multiplier + next;
        }
        ++position;
    }
    writer.insert(target.substr(literalStart));
    return writer.text();
}

Common::Result<std::string> applyDelta(std::string_view base, std::string_view delta,
                                       std::size_t maxBytes)
{
    const auto fail = [](const char *reason) {
        return Common::makeError(Common::ErrorCode::ProtocolViolation, reason);
    };
    std::string target;
    try {
        std::istringstream stream{std::string(delta)};
        cereal::PortableBinaryInputArchive archive(stream);
        while (stream.peek() != std::istringstream::traits_type::eof()) {
            std::uint32_t offset = 0;
            std::uint32_t size = 0;
            std::uint32_t inserted = 0;
            archive(offset, size, inserted);
            const std::size_t total = target.size() + std::size_t{size} + inserted;
            if (std::size_t{offset} + size > base.size() || total > maxBytes
                || inserted > delta.size()) {
                return fail("delta does not match its base");
            }
            target.append(base.substr(offset, size));
            const std::size_t end = target.size();
            target.resize(end + inserted);
            archive(cereal::binary_data(target.data() + end, inserted));
        }
    } catch (const std::exception &) {
        return fail("malformed delta");
    }
    return target;
}

} // namespace LaburnumChute::Cluster

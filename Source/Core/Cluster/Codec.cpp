#include "Cluster/Codec.h"

#include <algorithm>
#include <cstring>
#include <sstream>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/variant.hpp>

#include "Common/Hash.h"

namespace LaburnumChute::Cluster {

namespace {

constexpr std::string_view FormatTag = "LCG1";
constexpr std::size_t ChecksumBytes = 8;
constexpr std::size_t HeaderBytes = FormatTag.size() + ChecksumBytes;

/// A string of at most 255 bytes with a one-byte length prefix. cereal's own 8-byte length would
/// double the size of a typical message.
template <typename Archive>
void shortText(Archive &archive, std::string &text)
{
    auto size = static_cast<std::uint8_t>(std::min<std::size_t>(text.size(), 255));
    archive(size);
    if constexpr (Archive::is_loading::value) {
        text.resize(size);
    }
    archive(cereal::binary_data(text.data(), size));
}

template <typename Archive, typename Tag>
void shortName(Archive &archive, Common::Name<Tag> &name)
{
    std::string text = name.text();
    shortText(archive, text);
    if constexpr (Archive::is_loading::value) {
        name = Common::Name<Tag>(std::move(text));
    }
}

/// A list with a two-byte count, so that a corrupt count cannot cause an allocation of gigabytes.
template <typename Archive, typename T>
void shortList(Archive &archive, std::vector<T> &list)
{
    auto count = static_cast<std::uint16_t>(list.size());
    archive(count);
    if constexpr (Archive::is_loading::value) {
        list.resize(count);
    }
    for (T &item : list) {
        archive(item);
    }
}

/// A bool as a byte. cereal copies the byte into the bool unchecked; reading a bool that holds
/// anything but 0 or 1 is undefined behaviour.
template <typename Archive>
void flag(Archive &archive, bool &value)
{
    auto byte = static_cast<std::uint8_t>(value ? 1 : 0);
    archive(byte);
    value = byte != 0;
}

/// An enumeration; a value that is not one of its enumerators is rejected.
template <typename Archive, typename Enumeration>
void enumeration(Archive &archive, Enumeration &value, Enumeration last)
{
    archive(value);
    if (value > last) {
        throw cereal::Exception("enumeration value out of range");
    }
}

/// Counts the bytes that cereal's portable binary archive would write.
class SizeArchive
{
public:
    using is_loading = std::false_type;

    template <typename... T>
    void operator()(T &&...items)
    {
        (add(items), ...);
    }
    std::size_t size() const
    {
        return size_;
    }

private:
    template <typename T>
    void add(T &item)
    {
        if constexpr (std::is_arithmetic_v<T> || std::is_enum_v<T>) {
            size_ += sizeof(T);
        } else {
            serialize(*this, item);
        }
    }
    template <typename T>
    void add(cereal::BinaryData<T> &data)
    {
        size_ += data.size;
    }
    template <typename... T>
    void add(std::variant<T...> &body)
    {
        size_ += sizeof(std::int32_t);
        std::visit([this](auto &alternative) { add(alternative); }, body);
    }

    std::size_t size_ = 0;
};

} // namespace

template <typename Archive>
void serialize(Archive &archive, MemberInfo &info)
{
    shortName(archive, info.id);
    shortName(archive, info.region);
    shortName(archive, info.failureDomain);
    archive(info.incarnation);
    shortName(archive, info.httpAddress);
    shortName(archive, info.gossipAddress);
    shortName(archive, info.channelAddress);
}

template <typename Archive>
void serialize(Archive &archive, ServiceLoad &load)
{
    shortText(archive, load.name);
    archive(load.running, load.waiting, load.limit, load.freeTokensPerSecond, load.expectedWaitMs,
            load.prefillTokensPerSecond, load.utilisationPercent);
}

template <typename Archive>
void serialize(Archive &archive, RegionSummary &summary)
{
    shortName(archive, summary.region);
    archive(summary.version, summary.aliveMembers);
    shortList(archive, summary.contacts);
    shortList(archive, summary.load);
}

template <typename Archive>
void serialize(Archive &archive, Notice &notice)
{
    enumeration(archive, notice.kind, NoticeKind::InstanceLeaving);
    shortText(archive, notice.subject);
    shortText(archive, notice.detail);
    std::int64_t lifetime = notice.lifetime.count();
    archive(notice.version);
    flag(archive, notice.active);
    archive(lifetime);
    notice.lifetime = Common::milliseconds(lifetime);
}

template <typename Archive>
void serialize(Archive &archive, ConfigurationDigest &digest)
{
    archive(digest.number, digest.hash);
}

template <typename Archive>
void serialize(Archive &archive, MemberUpdate &update)
{
    shortName(archive, update.id);
    bool hasInfo = update.info.has_value();
    archive(update.incarnation, update.counter);
    enumeration(archive, update.health, Health::Dead);
    flag(archive, update.leaving);
    flag(archive, hasInfo);
    if (hasInfo) {
        MemberInfo info = update.info.value_or(MemberInfo{});
        archive(info);
        update.info = std::move(info);
    }
}

template <typename Archive>
void serialize(Archive &archive, Ping &ping)
{
    archive(ping.sequence);
}

template <typename Archive>
void serialize(Archive &archive, Ack &ack)
{
    archive(ack.sequence);
}

template <typename Archive>
void serialize(Archive &archive, PingRequest &request)
{
    archive(request.sequence);
    shortName(archive, request.target);
}

template <typename Archive>
void serialize(Archive &, PiggybackOnly &)
{
}

template <typename Archive>
void serialize(Archive &archive, MembersRequest &request)
{
    archive(request.hash);
}

template <typename Archive>
void serialize(Archive &archive, MembersPage &page)
{
    shortList(archive, page.updates);
}

template <typename Archive>
void serialize(Archive &archive, LoadReport &report)
{
    shortList(archive, report.load);
}

template <typename Archive>
void serialize(Archive &archive, RegionVersion &version)
{
    archive(version.region, version.version);
}

template <typename Archive>
void serialize(Archive &archive, RegionsDigest &digest)
{
    shortList(archive, digest.versions);
    flag(archive, digest.replyRequested);
}

template <typename Archive>
void serialize(Archive &archive, RegionsPage &page)
{
    shortList(archive, page.summaries);
}

template <typename Archive>
void serialize(Archive &archive, ConfigurationRequest &request)
{
    archive(request.wanted, request.base, request.offset, request.chunks);
}

template <typename Archive>
void serialize(Archive &archive, ConfigurationChunk &chunk)
{
    archive(chunk.version, chunk.base, chunk.transferSize, chunk.offset);
    auto size = static_cast<std::uint16_t>(chunk.bytes.size());
    archive(size);
    if constexpr (Archive::is_loading::value) {
        chunk.bytes.resize(size);
    }
    archive(cereal::binary_data(chunk.bytes.data(), size));
}

template <typename Archive>
void serialize(Archive &archive, GossipMessage &message)
{
    shortName(archive, message.sender);
    archive(message.incarnation);
    shortName(archive, message.region);
    archive(message.configuration, message.noticesHash);
    shortList(archive, message.updates);
    shortList(archive, message.notices);
    archive(message.body);
}

namespace {

template <typename T>
std::size_t sizeOf(const T &item)
{
    SizeArchive archive;
    // SizeArchive only reads, but cereal's serialize() functions take a non-const reference.
    archive(const_cast<T &>(item)); // NOLINT(cppcoreguidelines-pro-type-const-cast)
    return archive.size();
}

} // namespace

std::size_t encodedSize(const GossipMessage &message)
{
    constexpr std::size_t EndianMark = 1;
    return HeaderBytes + EndianMark + sizeOf(message);
}

std::size_t encodedSize(const MemberUpdate &update)
{
    return sizeOf(update);
}

std::size_t encodedSize(const Notice &notice)
{
    return sizeOf(notice);
}

std::size_t encodedSize(const RegionSummary &summary)
{
    return sizeOf(summary);
}

std::string encode(const GossipMessage &message)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(message);
    }
    const std::string payload = stream.str();
    const std::uint64_t checksum = Common::stableHash(payload);
    std::string datagram(FormatTag);
    for (std::size_t i = 0; i < ChecksumBytes; ++i) {
        datagram.push_back(static_cast<char>(checksum >> (8 * i)));
    }
    return datagram + payload;
}

Common::Result<GossipMessage> decode(std::string_view datagram)
{
    const auto fail = [](const char *reason) {
        return Common::makeError(Common::ErrorCode::ProtocolViolation, reason);
    };
    if (datagram.size() < HeaderBytes || datagram.substr(0, FormatTag.size()) != FormatTag) {
        return fail("not a gossip datagram");
    }
    std::uint64_t checksum = 0;
    for (std::size_t i = 0; i < ChecksumBytes; ++i) {
        const auto byte = static_cast<unsigned char>(datagram[FormatTag.size() + i]);
        checksum |= static_cast<std::uint64_t>(byte) << (8 * i);
    }
    const std::string_view payload = datagram.substr(HeaderBytes);
    if (Common::stableHash(payload) != checksum) {
        return fail("gossip datagram with a wrong checksum");
    }
    try {
        std::istringstream stream{std::string(payload)};
        cereal::PortableBinaryInputArchive archive(stream);
        GossipMessage message;
        archive(message);
        return message;
    } catch (const std::exception &) {
        return fail("malformed gossip datagram");
    }
}

} // namespace LaburnumChute::Cluster

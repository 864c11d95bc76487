#pragma once

#include <string>
#include <string_view>

#include "Cluster/Messages.h"
#include "Common/Error.h"

namespace LaburnumChute::Cluster {

/// Encodes a message as a datagram: a tag with the format version, a checksum, and the message in
/// cereal's portable binary format.
std::string encode(const GossipMessage &message);

/// Fails with ProtocolViolation for anything that encode() did not produce. Without the checksum, a
/// stray or damaged datagram could be decoded as a message and, for example, announce a
/// configuration number that no instance holds.
Common::Result<GossipMessage> decode(std::string_view datagram);

/// Size of the datagram that encode() would produce.
std::size_t encodedSize(const GossipMessage &message);
/// Bytes that one item adds to a datagram.
std::size_t encodedSize(const MemberUpdate &update);
std::size_t encodedSize(const Notice &notice);
std::size_t encodedSize(const RegionSummary &summary);

} // namespace LaburnumChute::Cluster

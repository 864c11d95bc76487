#pragma once

#include <string>
#include <string_view>

#include "Cluster/Messages.h"
#include "Common/Error.h"

namespace LaburnumChute::Cluster {

/// The datagram of a message: a tag with the version of the format, a checksum, and the message in
/// cereal's portable binary form.
std::string encode(const GossipMessage &message);

/// Fails with ProtocolViolation for anything that encode() did not make. Without the checksum a
/// stray datagram could pass as a message and, say, announce a configuration number that nobody
/// holds.
Common::Result<GossipMessage> decode(std::string_view datagram);

/// Bytes of the datagram that encode() would make.
std::size_t encodedSize(const GossipMessage &message);
/// Bytes that one of these adds to a datagram.
std::size_t encodedSize(const MemberUpdate &update);
std::size_t encodedSize(const Notice &notice);
std::size_t encodedSize(const RegionSummary &summary);

} // namespace LaburnumChute::Cluster

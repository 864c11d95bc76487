#pragma once

#include <sstream>
#include <string>
#include <string_view>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

#include "Common/Error.h"
#include "Peers/FrameArchive.h"

namespace LaburnumChute::Peers {

/// Serializes a message between instances.
template <typename Value>
std::string encodeValue(const Value &value)
{
    std::ostringstream stream(std::ios::binary);
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(value);
    }
    return std::move(stream).str();
}

/// Fails with ProtocolViolation if the bytes are not such a message.
template <typename Value>
Common::Result<Value> decodeValue(std::string_view bytes)
{
    try {
        FrameInputArchive archive(bytes);
        Value value;
        archive(value);
        return value;
    } catch (const std::exception &error) {
        return Common::makeError(Common::ErrorCode::ProtocolViolation,
                                 std::string("a message cannot be read: ") + error.what());
    }
}

} // namespace LaburnumChute::Peers

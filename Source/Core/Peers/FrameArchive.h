#pragma once

#include <bit>
#include <cstring>
#include <string_view>
#include <type_traits>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

namespace LaburnumChute::Peers {

/// Reads the output of cereal's portable binary archive from a complete buffer. A length field is
/// checked against the remaining bytes before anything is allocated. cereal's own archive trusts
/// it: a corrupt frame of a few bytes can request gigabytes, and the process is killed for running
/// out of memory, which an operator sees as an instance that exits without a log message.
class FrameInputArchive : public cereal::InputArchive<FrameInputArchive>
{
public:
    /// Throws cereal::Exception, as all reads do on error, if the byte order of the frame is not
    /// that of this machine.
    explicit FrameInputArchive(std::string_view bytes)
        : cereal::InputArchive<FrameInputArchive>(this)
        , remaining_(bytes)
    {
        unsigned char littleEndian = 0;
        read(&littleEndian, sizeof(littleEndian));
        if ((littleEndian == 1) != (std::endian::native == std::endian::little)) {
            throw cereal::Exception("a frame in another byte order");
        }
    }

    void read(void *target, std::size_t size)
    {
        if (size > remaining_.size()) {
            throw cereal::Exception("a frame that is cut short");
        }
        std::memcpy(target, remaining_.data(), size);
        remaining_.remove_prefix(size);
    }

    /// Checks an element count against the remaining bytes: each element of a string or list takes
    /// at least one byte.
    void checkCount(std::size_t count) const
    {
        if (count > remaining_.size()) {
            throw cereal::Exception("a length that the frame cannot hold");
        }
    }

private:
    std::string_view remaining_;
};

} // namespace LaburnumChute::Peers

/// The matching output archive, as cereal requires.
template <>
struct cereal::traits::detail::get_output_from_input<LaburnumChute::Peers::FrameInputArchive>
{
    using type = cereal::PortableBinaryOutputArchive;
};

namespace LaburnumChute::Peers {

// Load functions that cereal looks up; their names are defined by cereal.
// NOLINTBEGIN(readability-identifier-naming)

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(FrameInputArchive &archive,
                                                                    T &value)
{
    if constexpr (std::is_same_v<T, bool>) {
        // Using a byte other than 0 or 1 as a bool is undefined behavior.
        unsigned char byte = 0;
        archive.read(&byte, sizeof(byte));
        value = byte != 0;
    } else {
        archive.read(&value, sizeof(value));
    }
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(FrameInputArchive &archive, cereal::BinaryData<T> &data)
{
    archive.read(data.data, static_cast<std::size_t>(data.size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(FrameInputArchive &archive, cereal::SizeTag<T> &tag)
{
    archive(tag.size);
    archive.checkCount(static_cast<std::size_t>(tag.size));
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(FrameInputArchive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

// NOLINTEND(readability-identifier-naming)

} // namespace LaburnumChute::Peers

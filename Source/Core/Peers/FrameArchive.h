#pragma once

#include <bit>
#include <cstring>
#include <string_view>
#include <type_traits>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

namespace LaburnumChute::Peers {

/// Reads what cereal's portable binary archive wrote, from bytes that are all there. A stated
/// length is compared with the bytes left before anything is allocated. cereal's own archive trusts
/// it: a damaged frame of a few bytes asks for gigabytes, and the process is killed for its memory,
/// which an operator sees as an instance that dies without a word in its log.
class FrameInputArchive : public cereal::InputArchive<FrameInputArchive>
{
public:
    /// Throws cereal::Exception, as all reading does, unless the bytes are in the order of this
    /// machine.
    explicit FrameInputArchive(std::string_view bytes)
        : cereal::InputArchive<FrameInputArchive>(this)
        , rest_(bytes)
    {
        unsigned char littleEndian = 0;
        read(&littleEndian, sizeof(littleEndian));
        if ((littleEndian == 1) != (std::endian::native == std::endian::little)) {
            throw cereal::Exception("a frame in another byte order");
        }
    }

    void read(void *target, std::size_t size)
    {
        if (size > rest_.size()) {
            throw cereal::Exception("a frame that is cut short");
        }
        std::memcpy(target, rest_.data(), size);
        rest_.remove_prefix(size);
    }

    /// Each element of a text or list takes at least a byte.
    void checkCount(std::size_t count) const
    {
        if (count > rest_.size()) {
            throw cereal::Exception("a length that the frame cannot hold");
        }
    }

private:
    std::string_view rest_;
};

} // namespace LaburnumChute::Peers

/// The archive that writes what this one reads; cereal asks for it.
template <>
struct cereal::traits::detail::get_output_from_input<LaburnumChute::Peers::FrameInputArchive>
{
    using type = cereal::PortableBinaryOutputArchive;
};

namespace LaburnumChute::Peers {

// The functions by which cereal loads; their names are cereal's.
// NOLINTBEGIN(readability-identifier-naming)

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(FrameInputArchive &archive,
                                                                    T &value)
{
    if constexpr (std::is_same_v<T, bool>) {
        // A byte other than 0 and 1 is no bool, and to use it as one is undefined.
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

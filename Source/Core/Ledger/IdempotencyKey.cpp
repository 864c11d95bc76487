#include "Ledger/IdempotencyKey.h"

#include <array>
#include <charconv>
#include <optional>
#include <vector>

#include <fmt/format.h>

#include "Common/Hash.h"

namespace LaburnumChute::Ledger {

namespace {

constexpr std::string_view FormatVersion = "lk1";
constexpr std::size_t FieldCount = 8;
constexpr int Hexadecimal = 16;

bool isUnreserved(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
           || (character >= '0' && character <= '9') || character == '-' || character == '_';
}

std::string encodeName(std::string_view name)
{
    std::string encoded;
    for (const char character : name) {
        if (isUnreserved(character)) {
            encoded += character;
        } else {
            encoded += fmt::format("%{:02x}", static_cast<unsigned char>(character));
        }
    }
    return encoded;
}

template <typename Number>
std::optional<Number> parseHexadecimal(std::string_view text)
{
    Number number = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number, Hexadecimal);
    if (error != std::errc() || stop != end) {
        return std::nullopt;
    }
    return number;
}

std::optional<std::string> decodeName(std::string_view text)
{
    std::string name;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] != '%') {
            name += text[at];
            continue;
        }
        const auto code = parseHexadecimal<unsigned char>(text.substr(at + 1, 2));
        if (!code || at + 2 >= text.size()) {
            return std::nullopt;
        }
        name += static_cast<char>(*code);
        at += 2;
    }
    return name;
}

std::vector<std::string_view> splitFields(std::string_view text)
{
    std::vector<std::string_view> fields;
    std::size_t start = 0;
    for (auto dot = text.find('.'); dot != std::string_view::npos; dot = text.find('.', start)) {
        fields.push_back(text.substr(start, dot - start));
        start = dot + 1;
    }
    fields.push_back(text.substr(start));
    return fields;
}

std::uint32_t checksumOf(std::string_view text)
{
    return static_cast<std::uint32_t>(Common::stableHash(text));
}

std::string unsignedText(const IdempotencyKey &key)
{
    return fmt::format("{}.{}.{:x}.{}.{:x}.{:x}", FormatVersion, encodeName(key.owner.text()),
                       key.incarnation, encodeName(key.customer.text()), key.sequence,
                       key.issueOffset.count());
}

std::optional<IdempotencyKey> readFields(const std::vector<std::string_view> &fields)
{
    const auto owner = decodeName(fields[1]);
    const auto incarnation = parseHexadecimal<std::uint64_t>(fields[2]);
    const auto customer = decodeName(fields[3]);
    const auto sequence = parseHexadecimal<std::uint64_t>(fields[4]);
    const auto issued = parseHexadecimal<std::int64_t>(fields[5]);
    const auto signature = parseHexadecimal<std::uint32_t>(fields[6]);
    if (!owner || owner->empty() || !incarnation || !customer || !sequence || !issued
        || !signature) {
        return std::nullopt;
    }
    return IdempotencyKey{Common::InstanceId(*owner),      *incarnation,
                          Common::CustomerName(*customer), *sequence,
                          Common::milliseconds(*issued),   *signature};
}

} // namespace

Common::Result<IdempotencyKey> IdempotencyKey::parse(std::string_view text)
{
    using Common::ErrorCode;
    if (text.size() > MaxKeyTextBytes) {
        return Common::makeError(ErrorCode::InvalidArgument, "the idempotency key is too long");
    }
    const auto fields = splitFields(text);
    if (fields.size() != FieldCount || fields[0] != FormatVersion) {
        return Common::makeError(ErrorCode::InvalidArgument,
                                 "the idempotency key was not given out by this deployment");
    }
    const auto key = readFields(fields);
    // Comparing with the canonical text also rejects other encodings of the same key.
    if (!key || key->text() != text) {
        return Common::makeError(ErrorCode::InvalidArgument,
                                 "the idempotency key is damaged: its check does not match");
    }
    return *key;
}

std::string IdempotencyKey::text() const
{
    auto text = fmt::format("{}.{:08x}", unsignedText(*this), signature);
    const auto checksum = checksumOf(text);
    return fmt::format("{}.{:08x}", text, checksum);
}

std::uint32_t IdempotencyKey::expectedSignature(std::uint64_t secret) const
{
    return static_cast<std::uint32_t>(Common::stableHash(unsignedText(*this), secret));
}

} // namespace LaburnumChute::Ledger

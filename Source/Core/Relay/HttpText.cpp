#include "Relay/HttpText.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <boost/beast/http/status.hpp>

namespace LaburnumChute::Relay {

namespace {

constexpr std::array<std::string_view, 9> HopByHopHeaders = {
    "Connection", "Keep-Alive", "Transfer-Encoding",   "Content-Length", "TE",
    "Trailer",    "Upgrade",    "Proxy-Authorization", "Expect"};
/// Headers that are forwarded even if "Connection" lists them, since routing relies on them.
constexpr std::array<std::string_view, 2> ProtectedHeaders = {"Host", "Connection"};

std::string_view trimmed(std::string_view text)
{
    const auto isSpace = [](char character) { return character == ' ' || character == '\t'; };
    while (!text.empty() && isSpace(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && isSpace(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

void appendHeaders(std::string &text, const Common::Headers &headers)
{
    for (const auto &header : headers) {
        text += header.name;
        text += ": ";
        text += header.value;
        text += "\r\n";
    }
    text += "\r\n";
}

bool isHopByHop(const Common::Headers &headers, const Common::Header &header)
{
    const auto named = [&](std::string_view name) {
        return Common::sameHeaderName(header.name, name);
    };
    return std::any_of(HopByHopHeaders.begin(), HopByHopHeaders.end(), named)
           || (std::none_of(ProtectedHeaders.begin(), ProtectedHeaders.end(), named)
               && hasToken(headers, "Connection", header.name));
}

} // namespace

std::string responseHead(unsigned status, const Common::Headers &headers)
{
    const auto reason =
        boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
    std::string text =
        fmt::format("HTTP/1.1 {} {}\r\n", status, std::string_view(reason.data(), reason.size()));
    appendHeaders(text, headers);
    return text;
}

std::string requestHead(std::string_view method, std::string_view target,
                        const Common::Headers &headers)
{
    std::string text = fmt::format("{} {} HTTP/1.1\r\n", method, target);
    appendHeaders(text, headers);
    return text;
}

std::string encodeChunk(std::string_view bytes)
{
    std::string text = fmt::format("{:x}\r\n", bytes.size());
    text += bytes;
    text += "\r\n";
    return text;
}

bool hasToken(const Common::Headers &headers, std::string_view name, std::string_view token)
{
    for (const auto &header : headers) {
        if (!Common::sameHeaderName(header.name, name)) {
            continue;
        }
        std::string_view rest = header.value;
        while (!rest.empty()) {
            const auto comma = std::min(rest.find(','), rest.size());
            if (Common::sameHeaderName(trimmed(rest.substr(0, comma)), token)) {
                return true;
            }
            rest.remove_prefix(std::min(rest.size(), comma + 1));
        }
    }
    return false;
}

Common::Headers endToEndHeaders(const Common::Headers &headers)
{
    Common::Headers result;
    for (const auto &header : headers) {
        if (!isHopByHop(headers, header)) {
            result.push_back(header);
        }
    }
    return result;
}

std::optional<Common::seconds> keepAliveTimeout(const Common::Headers &headers)
{
    constexpr std::string_view Parameter = "timeout=";
    const auto *value = Common::findHeader(headers, "Keep-Alive");
    const auto start = value != nullptr ? value->find(Parameter) : std::string::npos;
    if (start == std::string::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    const auto *first = value->data() + start + Parameter.size();
    const auto parsed = std::from_chars(first, value->data() + value->size(), seconds);
    return parsed.ec == std::errc() ? std::optional(Common::seconds(seconds)) : std::nullopt;
}

} // namespace LaburnumChute::Relay

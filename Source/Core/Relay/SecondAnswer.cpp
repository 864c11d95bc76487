#include "Relay/SecondAnswer.h"

#include <algorithm>
#include <utility>

namespace LaburnumChute::Relay {

namespace {

constexpr std::string_view Version = "HTTP/1.";
constexpr std::string_view HeadEnd = "\r\n\r\n";
/// The version with its last digit, a space and three digits.
constexpr std::size_t StatusLineBytes = Version.size() + 5;
constexpr std::size_t MaxHeadBytes = 16 * 1024;

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

bool isStatusLine(std::string_view text)
{
    const auto rest = text.substr(Version.size());
    return isDigit(rest[0]) && rest[1] == ' ' && isDigit(rest[2]) && isDigit(rest[3])
           && isDigit(rest[4]);
}

/// Length of the longest end of the text with which a status line may begin.
std::size_t partialVersion(std::string_view text)
{
    for (auto size = std::min(text.size(), Version.size() - 1); size > 0; --size) {
        if (text.substr(text.size() - size) == Version.substr(0, size)) {
            return size;
        }
    }
    return 0;
}

} // namespace

SecondAnswer::SecondAnswer(std::string requestId)
    : requestId_(std::move(requestId))
{
}

void SecondAnswer::restart()
{
    pending_.clear();
}

bool SecondAnswer::isHead(std::string_view text, bool &undecided) const
{
    if (text.size() < StatusLineBytes) {
        undecided = true;
        return false;
    }
    if (!isStatusLine(text)) {
        return false;
    }
    const auto end = text.find(HeadEnd);
    if (text.substr(0, std::min(end, MaxHeadBytes)).find(": " + requestId_)
        != std::string_view::npos) {
        return true;
    }
    undecided = end == std::string_view::npos && text.size() < MaxHeadBytes;
    return false;
}

bool SecondAnswer::feed(std::string_view bytes)
{
    std::string joined;
    if (!pending_.empty()) {
        joined = std::exchange(pending_, {});
        joined += bytes;
        bytes = joined;
    }
    for (auto at = bytes.find(Version); at != std::string_view::npos;
         at = bytes.find(Version, at + 1)) {
        bool undecided = false;
        if (isHead(bytes.substr(at), undecided)) {
            return true;
        }
        if (undecided) {
            pending_ = bytes.substr(at);
            return false;
        }
    }
    pending_ = bytes.substr(bytes.size() - partialVersion(bytes));
    return false;
}

} // namespace LaburnumChute::Relay

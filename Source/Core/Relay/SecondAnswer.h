#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace LaburnumChute::Relay {

/// Finds the head of a second answer to a request inside the body of its answer. Endpoints may
/// answer twice; if the first answer has no length, or has broken off on a connection that stays
/// open, the framing takes the second one for a part of its body.
class SecondAnswer
{
public:
    explicit SecondAnswer(std::string requestId);

    void restart();
    /// Takes the next bytes of the body. Returns true once they contain a status line and the id of
    /// the request in the headers after it.
    bool feed(std::string_view bytes);

private:
    /// Returns true if the head at the position is that of a second answer. If that cannot be told
    /// yet, `undecided` is set.
    bool isHead(std::string_view text, bool &undecided) const;

    std::string requestId_;
    /// Bytes that may be the begin of a head.
    std::string pending_;
};

} // namespace LaburnumChute::Relay

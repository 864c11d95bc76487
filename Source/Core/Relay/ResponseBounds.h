#pragma once

#include <cstddef>
#include <string_view>

namespace LaburnumChute::Relay {

/// Decides when the bytes that a connection delivers cannot become a response any more.
///
/// Load pattern: endpoints in trouble send bytes without end, as a head, interim responses, chunk
/// extensions, trailers or responses to other requests, until the connection is closed.
class ResponseBounds
{
public:
    /// Records bytes that do not belong to the response: interim responses and responses to other
    /// requests.
    void skipped(std::size_t bytes)
    {
        skippedBytes_ += bytes;
    }
    /// Records bytes of the response.
    /// @param body those of them that are its body
    void received(std::size_t bytes, std::size_t body)
    {
        framingBytes_ += bytes - body;
        bodyBytes_ += body;
    }
    /// @param unparsed bytes that were received and cannot be parsed without more
    /// @return why the call must end, or nothing
    std::string_view violation(std::size_t unparsed) const;

private:
    std::size_t skippedBytes_ = 0;
    std::size_t framingBytes_ = 0;
    std::size_t bodyBytes_ = 0;
};

} // namespace LaburnumChute::Relay

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace LaburnumChute::LoadTool {

/// Compares an answer, as its parts come, with the tokens that the engine stand-in must have
/// generated for this request. The id of the answer names the request id under which the engine ran
/// it; a stream whose id changes, or that belongs to another caller, is wrong.
class AnswerCheck
{
public:
    /// The caller's request id and the text of its prompt.
    AnswerCheck(std::string requestId, std::string prompt);

    /// Takes a part; tells whether all was right so far.
    bool take(std::string_view answerId, std::string_view engineId, std::string_view text);
    /// What was wrong first, for people; empty when nothing was.
    const std::string &fault() const
    {
        return fault_;
    }
    std::size_t tokens() const
    {
        return bytes_ / 4;
    }
    /// The endpoint that gave the first part.
    const std::string &engine() const
    {
        return engine_;
    }

private:
    bool begin(std::string_view answerId, std::string_view engineId);

    std::string requestId_;
    std::string prompt_;
    std::string answerId_;
    std::string engine_;
    std::uint64_t seed_ = 0;
    std::size_t bytes_ = 0;
    std::string fault_;
};

} // namespace LaburnumChute::LoadTool

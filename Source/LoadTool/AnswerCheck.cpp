#include "LoadTool/AnswerCheck.h"

#include "StandIns/TokenText.h"

namespace LaburnumChute::LoadTool {

AnswerCheck::AnswerCheck(std::string requestId, std::string prompt)
    : requestId_(std::move(requestId))
    , prompt_(std::move(prompt))
{
}

bool AnswerCheck::begin(std::string_view answerId, std::string_view engineId)
{
    const auto dash = answerId.find('-');
    if (dash == std::string_view::npos) {
        fault_ = "no request id in the answer";
        return false;
    }
    const auto runId = answerId.substr(dash + 1);
    if (runId != requestId_ && runId.rfind(requestId_ + ".", 0) != 0) {
        fault_ = "the answer to another request: " + std::string(runId);
        return false;
    }
    answerId_ = answerId;
    engine_ = engineId;
    seed_ = StandIns::answerSeed(runId, prompt_, "");
    return true;
}

bool AnswerCheck::take(std::string_view answerId, std::string_view engineId, std::string_view text)
{
    if (!fault_.empty()) {
        return false;
    }
    if (answerId_.empty() && !begin(answerId, engineId)) {
        return false;
    }
    if (answerId != answerId_) {
        fault_ = "parts of two answers in one";
        return false;
    }
    const auto from = bytes_ / StandIns::TokenBytes;
    std::string wanted;
    for (auto index = from + 1; wanted.size() < text.size(); ++index) {
        wanted += StandIns::answerToken(seed_, index);
    }
    if (wanted != text) {
        fault_ = "token " + std::to_string(from + 1) + " differs from what was generated";
        return false;
    }
    bytes_ += text.size();
    return true;
}

} // namespace LaburnumChute::LoadTool

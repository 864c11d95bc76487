#include "Configuration/Patch.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace LaburnumChute::Configuration {

using Common::ErrorCode;
using Common::makeError;
using nlohmann::json;

namespace {

constexpr int Indent = 2;

} // namespace

Common::Result<std::string> applyPatch(std::string_view base, std::string_view patch)
{
    auto document = json::parse(base, nullptr, false);
    if (document.is_discarded()) {
        return makeError(ErrorCode::InvalidArgument, "the base document is not JSON");
    }
    const auto change = json::parse(patch, nullptr, false);
    if (!change.is_array() && !change.is_object()) {
        return makeError(ErrorCode::InvalidArgument,
                         "the patch is not valid; expected a JSON Patch (an array of operations) "
                         "or a JSON Merge Patch (an object)");
    }
    if (change.is_object()) {
        document.merge_patch(change);
        return document.dump(Indent, ' ', false, json::error_handler_t::replace);
    }
    // The library reports a patch that cannot be applied only by exceptions.
    try {
        document = document.patch(change);
    } catch (const json::exception &exception) {
        return makeError(ErrorCode::Conflict,
                         fmt::format("the patch does not fit the document: {}", exception.what()));
    }
    return document.dump(Indent, ' ', false, json::error_handler_t::replace);
}

} // namespace LaburnumChute::Configuration

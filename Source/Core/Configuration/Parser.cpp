#include "Configuration/Parser.h"

#include <set>

#include <fmt/format.h>

#include "Configuration/References.h"
#include "Configuration/Sections.h"

namespace LaburnumChute::Configuration {

using Common::ErrorCode;
using Common::makeError;
using nlohmann::json;

namespace {

/// Documents with deeper nesting than the schema are rejected before they are parsed completely.
constexpr int DeepestLevel = 16;

/// Detects duplicate names in an object, of which JSON parsers silently drop one. Positions consist
/// of object names only, since the schema has no objects inside arrays.
class DuplicateNames
{
public:
    explicit DuplicateNames(Problems &problems)
        : problems_(problems)
    {
    }

    bool operator()(int depth, json::parse_event_t event, json &parsed)
    {
        if (event == json::parse_event_t::key) {
            enter(static_cast<std::size_t>(depth), parsed.get<std::string>());
        }
        if (event == json::parse_event_t::object_end) {
            names_.resize(std::min(names_.size(), static_cast<std::size_t>(depth) + 1));
        }
        deepest_ = std::max(deepest_, depth);
        return depth <= DeepestLevel;
    }

    int deepest() const
    {
        return deepest_;
    }

private:
    void enter(std::size_t depth, const std::string &name)
    {
        names_.resize(depth + 1);
        path_.resize(depth + 1);
        path_[depth] = name;
        if (names_[depth].insert(name).second) {
            return;
        }
        json::json_pointer at;
        for (std::size_t level = 1; level <= depth; ++level) {
            at /= path_[level];
        }
        problems_.push_back(makeProblem(at, name, "each name once in an object"));
    }

    Problems &problems_;
    std::vector<std::set<std::string>> names_;
    std::vector<std::string> path_;
    int deepest_ = 0;
};

/// Returns the JSON value, or a discarded one and adds a problem.
json readJson(std::string_view content, Problems &problems)
{
    if (content.size() > MaximumBytes) {
        problems.push_back({"", fmt::format("{} bytes", content.size()),
                            fmt::format("at most {} bytes", MaximumBytes)});
        return json(json::value_t::discarded);
    }
    DuplicateNames duplicates(problems);
    // The library reports the position of a syntax error only in its exception.
    try {
        auto document = json::parse(content, std::ref(duplicates));
        if (duplicates.deepest() > DeepestLevel) {
            problems.push_back({"", fmt::format("{} levels", duplicates.deepest()),
                                fmt::format("at most {} levels", DeepestLevel)});
        }
        return document;
    } catch (const json::parse_error &error) {
        problems.push_back({"", fmt::format("bytes that are not JSON at offset {}", error.byte),
                            fmt::format("JSON ({})", error.what())});
        return json(json::value_t::discarded);
    }
}

} // namespace

Report check(std::string_view content)
{
    Report report;
    const auto document = readJson(content, report.problems);
    if (document.is_discarded()) {
        if (report.problems.empty()) {
            report.problems.push_back({"", "an empty document", "an object"});
        }
        return report;
    }
    auto tables = readTables(document, report.problems);
    checkReferences(tables, report.problems);
    if (!report.problems.empty()) {
        return report;
    }
    report.warnings = findWarnings(tables);
    report.configuration = std::make_shared<const Configuration>(std::move(tables));
    return report;
}

Common::Result<std::shared_ptr<const Configuration>> parse(std::string_view content)
{
    auto report = check(content);
    if (!report.configuration) {
        return makeError(ErrorCode::InvalidArgument, toString(report.problems));
    }
    return std::move(report.configuration);
}

} // namespace LaburnumChute::Configuration

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "Documents.h"

namespace LaburnumChute::Configuration {

namespace {

using nlohmann::json;

/// Members of the example as pointers to leaves, so that a generated index picks one.
std::vector<std::string> leaves()
{
    std::vector<std::string> pointers;
    const auto flat = example("otaru").flatten();
    for (const auto &entry : flat.items()) {
        pointers.push_back(entry.key());
    }
    return pointers;
}

/// As text: RapidCheck would print a JSON value as a container, and each scalar is one of itself.
std::string oddValue()
{
    return *rc::gen::element<std::string>("null", "true", "-1", "1e300", "0.5", "\"\"",
                                          "\"sapporo\"", "[]", "{}", "[{}]");
}

RC_GTEST_PROP(ConfigurationProperty, AnyReplacedMemberIsAcceptedOrRefusedWithAPosition, ())
{
    auto document = example("otaru");
    const auto pointer = *rc::gen::elementOf(leaves());
    document[json::json_pointer(pointer)] = json::parse(oddValue());
    const auto report = check(document.dump());
    RC_ASSERT((report.configuration != nullptr) == report.problems.empty());
    for (const auto &problem : report.problems) {
        RC_ASSERT(!problem.expected.empty());
        RC_ASSERT(problem.pointer.empty() || problem.pointer[0] == '/');
    }
}

RC_GTEST_PROP(ConfigurationProperty, AnyCutOfADocumentIsRefused, ())
{
    const auto text = example("caroni").dump();
    const auto length = *rc::gen::inRange<std::size_t>(0, text.size());
    RC_ASSERT(!parse(text.substr(0, length)));
}

RC_GTEST_PROP(ConfigurationProperty, ResidencyRuleAllowsNothingOutsideItsRegions, ())
{
    const auto names = *rc::gen::container<std::set<int>>(rc::gen::inRange(0, 5));
    RegionSet allowed;
    for (const auto name : names) {
        allowed.insert(RegionName(std::to_string(name)));
    }
    const ResidencyRule listed{ResidencyRuleName("listed"), allowed};
    const ResidencyRule home{ResidencyRuleName("home"), HomeRegion()};
    const RegionName caller(std::to_string(*rc::gen::inRange(0, 5)));
    const RegionName target(std::to_string(*rc::gen::inRange(0, 5)));
    RC_ASSERT(listed.allows(caller, target) == (allowed.count(target) == 1));
    RC_ASSERT(home.allows(caller, target) == (caller == target));
}

RC_GTEST_PROP(ConfigurationProperty, JsonPatchOfADifferenceGivesTheOtherDocument, ())
{
    const auto before = example("otaru");
    auto after = before;
    after["limits"]["retry_share"] = *rc::gen::inRange(0, 100) / 100.0;
    after["customers"]["clubs"]["share"] = *rc::gen::inRange(1, 9);
    const auto patched = applyPatch(before.dump(), json::diff(before, after).dump());
    RC_ASSERT(patched);
    RC_ASSERT(json::parse(*patched) == after);
}

} // namespace

} // namespace LaburnumChute::Configuration

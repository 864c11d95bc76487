#include "Configuration/ObjectReader.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace LaburnumChute::Configuration {

using nlohmann::json;

namespace {

constexpr std::size_t LongestValue = 80;
constexpr std::size_t LongestName = 128;
constexpr std::string_view CommentPrefix = "_comment";
const char *const TextExpected = "a text that is not empty";

std::string describe(const std::string &kind, Range range)
{
    return fmt::format("{} from {} to {}", kind, range.lowest, range.highest);
}

bool isNameCharacter(unsigned char letter)
{
    return letter > ' ' && letter < 0x7f;
}

} // namespace

std::string toString(const Problem &problem)
{
    const auto *where = problem.pointer.empty() ? "(document)" : problem.pointer.c_str();
    return fmt::format("{}: found {}; expected {}", where, problem.value, problem.expected);
}

std::string toString(const Problems &problems)
{
    std::string text;
    for (const auto &problem : problems) {
        text += (text.empty() ? "" : "\n") + toString(problem);
    }
    return text;
}

Problem makeProblem(const json::json_pointer &at, const json &value, std::string expected)
{
    auto text = value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (text.size() > LongestValue) {
        text = text.substr(0, LongestValue) + "...";
    }
    return {at.to_string(), std::move(text), std::move(expected)};
}

Problem makeMissing(const json::json_pointer &at, std::string expected)
{
    return {at.to_string(), "nothing", std::move(expected)};
}

ObjectReader::ObjectReader(const json &value, json::json_pointer at, Problems &problems)
    : value_(value)
    , at_(std::move(at))
    , problems_(problems)
{
    if (!value_.is_object()) {
        problems_.push_back(makeProblem(at_, value_, "an object"));
    }
}

bool ObjectReader::isComment(const std::string &name)
{
    return name.rfind(CommentPrefix, 0) == 0;
}

bool ObjectReader::checkName(const std::string &name, const json::json_pointer &at)
{
    const bool valid = !name.empty() && name.size() <= LongestName
                       && std::all_of(name.begin(), name.end(), isNameCharacter);
    if (!valid) {
        problems_.push_back(
            makeProblem(at, name,
                        fmt::format("a name of 1 to {} printable ASCII characters without space",
                                    LongestName)));
    }
    return valid;
}

const json *ObjectReader::raw(const std::string &key)
{
    known_.insert(key);
    if (!value_.is_object()) {
        return nullptr;
    }
    const auto found = value_.find(key);
    return found == value_.end() ? nullptr : &*found;
}

const json *ObjectReader::objectMember(const std::string &key)
{
    const auto *member = raw(key);
    if (member && !member->is_object()) {
        report(key, "an object");
        return nullptr;
    }
    return member;
}

const json *ObjectReader::required(const std::string &key, const std::string &expected)
{
    const auto *member = raw(key);
    if (!member && value_.is_object()) {
        problems_.push_back(makeMissing(at_ / key, expected));
    }
    return member;
}

void ObjectReader::report(const std::string &key, std::string expected)
{
    const auto *member = raw(key);
    problems_.push_back(member ? makeProblem(at_ / key, *member, std::move(expected))
                               : makeMissing(at_ / key, std::move(expected)));
}

std::string ObjectReader::text(const std::string &key)
{
    if (!required(key, TextExpected)) {
        return {};
    }
    return optionalText(key).value_or(std::string());
}

std::optional<std::string> ObjectReader::optionalText(const std::string &key)
{
    const auto *member = raw(key);
    if (!member) {
        return std::nullopt;
    }
    if (!member->is_string() || member->get_ref<const std::string &>().empty()) {
        report(key, TextExpected);
        return std::nullopt;
    }
    return member->get<std::string>();
}

std::vector<std::string> ObjectReader::texts(const std::string &key)
{
    const auto *member = raw(key);
    if (!member) {
        return {};
    }
    if (!member->is_array()) {
        report(key, "an array of texts");
        return {};
    }
    std::vector<std::string> result;
    std::size_t index = 0;
    for (const auto &entry : *member) {
        const auto at = at_ / key / index++;
        if (!entry.is_string() || entry.get_ref<const std::string &>().empty()) {
            problems_.push_back(makeProblem(at, entry, TextExpected));
        } else if (std::find(result.begin(), result.end(), entry) != result.end()) {
            problems_.push_back(makeProblem(at, entry, "each entry once"));
        } else {
            result.push_back(entry.get<std::string>());
        }
    }
    return result;
}

std::optional<double> ObjectReader::numberOf(const json &value, const std::string &key, Range range)
{
    if (value.is_number()) {
        const auto number = value.get<double>();
        if (number >= range.lowest && number <= range.highest) {
            return number;
        }
    }
    report(key, describe("a number", range));
    return std::nullopt;
}

double ObjectReader::number(const std::string &key, Range range)
{
    const auto *member = required(key, describe("a number", range));
    return member ? numberOf(*member, key, range).value_or(range.lowest) : range.lowest;
}

std::optional<double> ObjectReader::optionalNumber(const std::string &key, Range range)
{
    const auto *member = raw(key);
    return member ? numberOf(*member, key, range) : std::nullopt;
}

std::int64_t ObjectReader::wholeNumber(const std::string &key, Range range)
{
    const auto expected = describe("a whole number", range);
    const auto lowest = static_cast<std::int64_t>(range.lowest);
    const auto *member = required(key, expected);
    if (!member) {
        return lowest;
    }
    const auto number = member->is_number_integer() ? member->get<double>() : std::nan("");
    if (!(number >= range.lowest && number <= range.highest)) {
        report(key, expected);
        return lowest;
    }
    return member->get<std::int64_t>();
}

bool ObjectReader::flag(const std::string &key, bool absent)
{
    const auto *member = raw(key);
    if (!member) {
        return absent;
    }
    if (!member->is_boolean()) {
        report(key, "true or false");
        return absent;
    }
    return member->get<bool>();
}

Common::Duration ObjectReader::milliseconds(const std::string &key, Range range)
{
    return std::chrono::duration_cast<Common::Duration>(
        std::chrono::duration<double, std::milli>(number(key, range)));
}

std::optional<Common::Duration> ObjectReader::optionalMilliseconds(const std::string &key,
                                                                   Range range)
{
    const auto value = optionalNumber(key, range);
    if (!value) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Common::Duration>(
        std::chrono::duration<double, std::milli>(*value));
}

void ObjectReader::finish() const
{
    if (!value_.is_object()) {
        return;
    }
    for (const auto &[key, member] : value_.items()) {
        if (known_.count(key) == 0 && !isComment(key)) {
            problems_.push_back(makeProblem(
                at_ / key, member,
                fmt::format("no member of this name, but one of: {}", fmt::join(known_, ", "))));
        }
    }
}

} // namespace LaburnumChute::Configuration

#include "Common/Settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <list>

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <unistd.h>

namespace LaburnumChute::Common {

namespace {

constexpr std::string_view EnvironmentPrefix = "LABURNUMCHUTE_";

/// gflags keeps pointers to the storage of each flag for the lifetime of the process.
struct FlagStorage
{
    std::string name;
    std::string help;
    std::string value;
    std::string defaultValue;
};

void registerFlag(const SettingInfo &info)
{
    gflags::CommandLineFlagInfo known;
    const auto flagName = info.name;
    if (gflags::GetCommandLineFlagInfo(flagName.c_str(), &known)) {
        return;
    }
    static std::list<FlagStorage> storage;
    auto &flag = storage.emplace_back(FlagStorage{flagName, info.help, {}, {}});
    // NOLINTNEXTLINE(bugprone-unused-raii): the constructor registers the flag with gflags.
    gflags::FlagRegisterer(flag.name.c_str(), flag.help.c_str(), "", &flag.value,
                           &flag.defaultValue);
}

/// The name in "--name", "--name=value", "-name".
std::string flagName(const std::string &argument)
{
    const auto start = argument.find_first_not_of('-');
    if (start == std::string::npos) {
        return {};
    }
    return argument.substr(start, argument.find('=') - start);
}

bool isFlag(const std::string &argument)
{
    return argument.size() > 1 && argument[0] == '-';
}

template <typename Number>
Result<Number> parseNumber(std::string_view text)
{
    Number value{};
    const auto *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end) {
        return makeError(ErrorCode::InvalidArgument, "not a number");
    }
    return value;
}

} // namespace

std::string environmentName(std::string_view settingName)
{
    std::string name(EnvironmentPrefix);
    for (const char letter : settingName) {
        name += letter == '-' ? '_' : static_cast<char>(std::toupper(letter));
    }
    return name;
}

namespace Detail {

Result<bool> parseSetting(std::string_view text, const bool *)
{
    if (text == "true" || text == "1") {
        return true;
    }
    if (text == "false" || text == "0") {
        return false;
    }
    return makeError(ErrorCode::InvalidArgument, "not true or false");
}

Result<std::int64_t> parseSetting(std::string_view text, const std::int64_t *)
{
    return parseNumber<std::int64_t>(text);
}

Result<double> parseSetting(std::string_view text, const double *)
{
    return parseNumber<double>(text);
}

Result<std::string> parseSetting(std::string_view text, const std::string *)
{
    return std::string(text);
}

Result<milliseconds> parseSetting(std::string_view text, const milliseconds *)
{
    const auto unitStart = text.find_first_not_of("0123456789.");
    if (unitStart == std::string_view::npos) {
        return makeError(ErrorCode::InvalidArgument, "the unit is missing");
    }
    const auto number = parseNumber<double>(text.substr(0, unitStart));
    const auto unit = text.substr(unitStart);
    const std::map<std::string_view, double> unitMilliseconds = {
        {"ms", 1}, {"s", 1000}, {"min", 60000}, {"h", 3600000}};
    const auto factor = unitMilliseconds.find(unit);
    if (!number || factor == unitMilliseconds.end()) {
        return makeError(ErrorCode::InvalidArgument, "not a duration");
    }
    return milliseconds(std::llround(*number * factor->second));
}

std::string settingText(bool value)
{
    return value ? "true" : "false";
}

std::string settingText(std::int64_t value)
{
    return std::to_string(value);
}

std::string settingText(double value)
{
    return fmt::format("{}", value);
}

std::string settingText(const std::string &value)
{
    return value;
}

std::string settingText(milliseconds value)
{
    return fmt::format("{}ms", value.count());
}

} // namespace Detail

void Settings::declareChecked(SettingInfo info, std::function<bool(std::string_view)> valid)
{
    registerFlag(info);
    values_[info.name] = {info.defaultText, SettingLayer::Default, std::move(valid)};
    infos_.push_back(std::move(info));
}

const SettingInfo &Settings::info(const std::string &name) const
{
    return *std::find_if(infos_.begin(), infos_.end(),
                         [&](const SettingInfo &candidate) { return candidate.name == name; });
}

Result<void> Settings::set(const std::string &name, const std::string &text, SettingLayer layer)
{
    auto &value = values_.at(name);
    if (!value.valid(text)) {
        const auto where = layer == SettingLayer::Flag ? "--" + name : environmentName(name);
        return makeError(ErrorCode::InvalidArgument,
                         fmt::format("{}: the value \"{}\" is not valid; expected {}", where, text,
                                     info(name).expected));
    }
    value.text = text;
    value.layer = layer;
    return {};
}

Result<void> Settings::applyEnvironment(const std::map<std::string, std::string> &environment)
{
    for (const auto &entry : environment) {
        const auto &variable = entry.first;
        if (variable.rfind(EnvironmentPrefix, 0) != 0) {
            continue;
        }
        const auto found = std::find_if(infos_.begin(), infos_.end(), [&](const SettingInfo &info) {
            return environmentName(info.name) == variable;
        });
        if (found == infos_.end()) {
            return makeError(ErrorCode::InvalidArgument, variable + ": there is no such setting");
        }
        if (auto done = set(found->name, entry.second, SettingLayer::Environment); !done) {
            return done;
        }
    }
    return {};
}

Result<Settings::Words> Settings::splitWords(const std::vector<std::string> &arguments)
{
    // gflags terminates the process on an unknown flag, with status 1 and without a list of the
    // valid ones. Therefore, names are checked before they are passed to it.
    Words words;
    for (std::size_t index = 0; index < arguments.size(); ++index) {
        const auto &argument = arguments[index];
        if (!isFlag(argument)) {
            words.positional.push_back(argument);
            continue;
        }
        const auto name = flagName(argument);
        if (name == "help" || name == "h") {
            helpWanted_ = true;
            continue;
        }
        if (values_.count(name) == 0) {
            return makeError(ErrorCode::InvalidArgument,
                             argument + ": there is no such setting; --help lists them");
        }
        words.flags.push_back(argument);
        if (argument.find('=') != std::string::npos) {
            continue;
        }
        if (info(name).isSwitch) {
            words.flags.back() += "=true";
            continue;
        }
        if (index + 1 == arguments.size()) {
            return makeError(ErrorCode::InvalidArgument,
                             argument + ": the value is missing; expected " + info(name).expected);
        }
        words.flags.back() += "=" + arguments[++index];
    }
    return words;
}

Result<void> Settings::applyFlags(std::vector<std::string> flags)
{
    std::string program = "laburnumchute";
    std::vector<char *> pointers = {program.data()};
    for (auto &flag : flags) {
        pointers.push_back(flag.data());
    }
    auto count = static_cast<int>(pointers.size());
    auto **first = pointers.data();
    gflags::ParseCommandLineNonHelpFlags(&count, &first, false);
    for (const auto &flag : flags) {
        const auto name = flagName(flag);
        std::string text;
        gflags::GetCommandLineOption(name.c_str(), &text);
        if (auto done = set(name, text, SettingLayer::Flag); !done) {
            return done;
        }
    }
    return {};
}

Result<std::vector<std::string>>
Settings::parse(const std::vector<std::string> &arguments,
                const std::map<std::string, std::string> &environment)
{
    auto words = splitWords(arguments);
    if (!words) {
        return tl::unexpected(words.error());
    }
    if (const auto done = applyEnvironment(environment); !done) {
        return tl::unexpected(done.error());
    }
    if (const auto done = applyFlags(words->flags); !done) {
        return tl::unexpected(done.error());
    }
    return words->positional;
}

SettingLayer Settings::layer(const std::string &name) const
{
    return values_.at(name).layer;
}

std::string Settings::text(const std::string &name) const
{
    return values_.at(name).text;
}

std::string Settings::helpText() const
{
    std::string text;
    std::string part;
    for (const auto &info : infos_) {
        if (info.part != part) {
            part = info.part;
            text += fmt::format("\n{}:\n", part);
        }
        text += fmt::format("  --{:<28} {}\n{:33}expected {}; default \"{}\"\n", info.name,
                            info.help, "", info.expected, info.defaultText);
    }
    return text;
}

std::map<std::string, std::string> processEnvironment()
{
    std::map<std::string, std::string> result;
    for (char **entry = environ; *entry != nullptr; ++entry) {
        const std::string line(*entry);
        const auto equals = line.find('=');
        if (equals != std::string::npos) {
            result[line.substr(0, equals)] = line.substr(equals + 1);
        }
    }
    return result;
}

} // namespace LaburnumChute::Common

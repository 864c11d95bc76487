#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "Common/Error.h"
#include "Common/Time.h"

namespace LaburnumChute::Common {

/// Origin of the value of a setting. A higher layer overrides the lower ones.
enum class SettingLayer { Default, Environment, Flag };

/// Type-independent properties of a setting, for --help, the man page and the state dump.
struct SettingInfo
{
    /// Words joined by hyphens. The flag is --NAME, the environment variable LABURNUMCHUTE_NAME.
    std::string name;
    /// Section of --help that lists the setting.
    std::string part;
    std::string help;
    std::string defaultText;
    /// Description of valid values for error messages, such as "a whole number from 1 to 65535".
    std::string expected;
    /// The name alone means true; a value must follow "=".
    bool isSwitch = false;
};

/// "listen-port" becomes "LABURNUMCHUTE_LISTEN_PORT".
std::string environmentName(std::string_view settingName);

namespace Detail {
Result<bool> parseSetting(std::string_view text, const bool *);
Result<std::int64_t> parseSetting(std::string_view text, const std::int64_t *);
Result<double> parseSetting(std::string_view text, const double *);
Result<std::string> parseSetting(std::string_view text, const std::string *);
/// Parses a number with a unit: us, ms, s or min.
Result<milliseconds> parseSetting(std::string_view text, const milliseconds *);
std::string settingText(bool value);
std::string settingText(std::int64_t value);
std::string settingText(double value);
std::string settingText(const std::string &value);
std::string settingText(milliseconds value);
} // namespace Detail

/// A typed setting with its name, default and valid values.
template <typename T>
struct Setting
{
    const char *name;
    const char *part;
    T defaultValue;
    const char *help;
    const char *expected;
    bool (*valid)(const T &) = [](const T &) { return true; };
};

/// Reads the settings of a program from its flags and environment. All settings must be declared
/// before parse() is called once; get() may be called afterwards.
class Settings
{
public:
    template <typename T>
    void declare(const Setting<T> &setting)
    {
        declareChecked({setting.name, setting.part, setting.help,
                        Detail::settingText(setting.defaultValue), setting.expected,
                        std::is_same_v<T, bool>},
                       [&setting](std::string_view text) {
                           const auto value = Detail::parseSetting(text, static_cast<T *>(nullptr));
                           return value && setting.valid(*value);
                       });
    }

    /// Parses the flags and returns the positional arguments. The error for an unknown flag or
    /// variable, or an invalid value, names the setting, the value and the expected values.
    Result<std::vector<std::string>> parse(const std::vector<std::string> &arguments,
                                           const std::map<std::string, std::string> &environment);

    template <typename T>
    T get(const Setting<T> &setting) const
    {
        return *Detail::parseSetting(text(setting.name), static_cast<T *>(nullptr));
    }

    bool helpWanted() const
    {
        return helpWanted_;
    }
    SettingLayer layer(const std::string &name) const;
    std::string text(const std::string &name) const;
    /// All settings in the order of their declaration.
    const std::vector<SettingInfo> &all() const
    {
        return infos_;
    }
    /// Text of --help, which lists the settings by section.
    std::string helpText() const;

private:
    struct Value
    {
        std::string text;
        SettingLayer layer = SettingLayer::Default;
        std::function<bool(std::string_view)> valid;
    };

    struct Words
    {
        std::vector<std::string> flags;
        std::vector<std::string> positional;
    };

    Result<Words> splitWords(const std::vector<std::string> &arguments);
    Result<void> applyEnvironment(const std::map<std::string, std::string> &environment);
    Result<void> applyFlags(std::vector<std::string> flags);
    void declareChecked(SettingInfo info, std::function<bool(std::string_view)> valid);
    Result<void> set(const std::string &name, const std::string &text, SettingLayer layer);
    const SettingInfo &info(const std::string &name) const;

    std::vector<SettingInfo> infos_;
    std::map<std::string, Value> values_;
    bool helpWanted_ = false;
};

/// The environment of this process.
std::map<std::string, std::string> processEnvironment();

} // namespace LaburnumChute::Common

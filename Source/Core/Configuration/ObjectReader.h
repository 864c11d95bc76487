#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Common/Common.h"
#include "Configuration/Problem.h"

namespace LaburnumChute::Configuration {

/// Inclusive bounds of a number.
struct Range
{
    double lowest = 0;
    double highest = 0;
};

/// Reads the members of one JSON object. Each error is recorded as a problem and the reader
/// continues with a default, so that all errors are found at once. finish() reports members that
/// were not read, except for those whose names begin with "_comment".
class ObjectReader
{
public:
    ObjectReader(const nlohmann::json &value, nlohmann::json::json_pointer at, Problems &problems);

    const nlohmann::json::json_pointer &at() const
    {
        return at_;
    }

    std::string text(const std::string &key);
    std::optional<std::string> optionalText(const std::string &key);
    std::vector<std::string> texts(const std::string &key);
    double number(const std::string &key, Range range);
    std::optional<double> optionalNumber(const std::string &key, Range range);
    std::int64_t wholeNumber(const std::string &key, Range range);
    bool flag(const std::string &key, bool absent);
    /// Reads a member in milliseconds.
    Common::Duration milliseconds(const std::string &key, Range range);
    std::optional<Common::Duration> optionalMilliseconds(const std::string &key, Range range);

    /// Value of a member that the caller validates; null if it is absent.
    const nlohmann::json *raw(const std::string &key);
    /// Calls function(name, value, pointer) for each entry of a member that is an object and checks
    /// the names. An absent member has no entries.
    template <typename Function>
    void forEach(const std::string &key, Function &&function)
    {
        const auto *member = objectMember(key);
        if (!member) {
            return;
        }
        for (const auto &[name, value] : member->items()) {
            if (!isComment(name) && checkName(name, at_ / key)) {
                function(name, value, at_ / key / name);
            }
        }
    }

    void report(const std::string &key, std::string expected);
    void finish() const;

private:
    static bool isComment(const std::string &name);
    bool checkName(const std::string &name, const nlohmann::json::json_pointer &at);
    const nlohmann::json *objectMember(const std::string &key);
    const nlohmann::json *required(const std::string &key, const std::string &expected);
    std::optional<double> numberOf(const nlohmann::json &value, const std::string &key,
                                   Range range);

    const nlohmann::json &value_;
    nlohmann::json::json_pointer at_;
    Problems &problems_;
    std::set<std::string> known_;
};

} // namespace LaburnumChute::Configuration

#include "Operator/ManPage.h"

#include <fmt/format.h>

namespace LaburnumChute::Operator {

namespace {

/// Escapes text for roff: hyphens can be copied, and no line is interpreted as a request.
std::string escape(const std::string &text)
{
    std::string result;
    for (const char letter : text) {
        if (letter == '\\') {
            result += "\\e";
        } else if (letter == '-') {
            result += "\\-";
        } else if ((letter == '.' || letter == '\'') && (result.empty() || result.back() == '\n')) {
            result += fmt::format("\\&{}", letter);
        } else {
            result += letter;
        }
    }
    return result;
}

std::string settingEntry(const Common::SettingInfo &info)
{
    return fmt::format(".TP\n.B \\-\\-{}\n{} Expected: {}. Default: \"{}\".\n", escape(info.name),
                       escape(info.help) + ".", escape(info.expected), escape(info.defaultText));
}

std::string verbSection(const Verb &verb)
{
    auto text = fmt::format(".SS laburnumchute {} [settings] {}\n{}.\n{}\n", escape(verb.name),
                            escape(verb.operands), escape(verb.summary), escape(verb.description));
    const auto settings = verb.settings();
    for (const auto &info : settings.all()) {
        text += settingEntry(info);
    }
    for (const auto &status : verb.statuses) {
        text += fmt::format(".TP\nexit status {}\n{}\n", status.status, escape(status.meaning));
    }
    return text;
}

} // namespace

std::string manPage(const std::vector<Verb> &verbs)
{
    std::string text = ".TH LABURNUMCHUTE 1\n"
                       ".SH NAME\n"
                       "laburnumchute \\- multi\\-region inference gateway\n"
                       ".SH SYNOPSIS\n"
                       ".B laburnumchute\nVERB [settings] [words]\n"
                       ".SH DESCRIPTION\n"
                       "One program for entry instances (the verb gateway) and for operators.\n"
                       ".SH VERBS\n";
    for (const auto &verb : verbs) {
        text += verbSection(verb);
    }
    text += ".SH ENVIRONMENT\n"
            "Each setting can be given as a variable: \\-\\-listen\\-port as "
            "LABURNUMCHUTE_LISTEN_PORT. A flag hides the variable, the variable hides the "
            "default.\n";
    return text;
}

} // namespace LaburnumChute::Operator

#include "Operator/Completion.h"

#include <fmt/format.h>

namespace LaburnumChute::Operator {

namespace {

std::string flagsOf(const Verb &verb)
{
    std::string flags = "--help";
    const auto settings = verb.settings();
    for (const auto &info : settings.all()) {
        flags += " --" + info.name + "=";
    }
    return flags;
}

std::string caseOf(const Verb &verb)
{
    const auto *files = verb.takesFiles ? "; files=yes" : "";
    return fmt::format("        {}) flags=\"{}\"{} ;;\n", verb.name, flagsOf(verb), files);
}

} // namespace

std::string bashCompletion(const std::vector<Verb> &verbs)
{
    std::string names;
    std::string cases;
    for (const auto &verb : verbs) {
        names += (names.empty() ? "" : " ") + verb.name;
        cases += caseOf(verb);
    }
    return "# bash completion of laburnumchute\n"
           "_laburnumchute()\n"
           "{\n"
           "    local word=\"${COMP_WORDS[COMP_CWORD]}\" flags=\"--help\" files=\n"
           "    COMPREPLY=()\n"
           "    if [ \"$COMP_CWORD\" -eq 1 ]; then\n"
           "        COMPREPLY=($(compgen -W \""
           + names
           + " --help\" -- \"$word\"))\n"
             "        return\n"
             "    fi\n"
             "    case \"${COMP_WORDS[1]}\" in\n"
           + cases
           + "    esac\n"
             "    if [[ \"$word\" == -* ]]; then\n"
             "        COMPREPLY=($(compgen -W \"$flags\" -- \"$word\"))\n"
             "        compopt -o nospace 2>/dev/null\n"
             "    elif [ -n \"$files\" ]; then\n"
             "        COMPREPLY=($(compgen -f -- \"$word\"))\n"
             "    fi\n"
             "}\n"
             "complete -F _laburnumchute laburnumchute\n";
}

} // namespace LaburnumChute::Operator

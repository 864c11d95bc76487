#include "Operator/Completion.h"
#include "Operator/ManPage.h"
#include "Operator/Verbs.h"

namespace LaburnumChute::Operator {

namespace {

const std::vector<ExitStatus> TextStatuses = {{StatusDone, "the text is printed"},
                                              {StatusUsage, "a word or a setting is wrong"}};

Verb makeCompletion()
{
    Verb verb;
    verb.name = "completion";
    verb.operands = "bash";
    verb.summary = "Print the completion script of a shell";
    verb.description = "Load it with: source <(laburnumchute completion bash)";
    verb.statuses = TextStatuses;
    return verb;
}

Verb makeMan()
{
    Verb verb;
    verb.name = "man";
    verb.summary = "Print the man page";
    verb.description = "Read it with: laburnumchute man | man -l -";
    verb.statuses = TextStatuses;
    return verb;
}

/// The given verbs and the two that describe them.
std::vector<Verb> describedVerbs(std::vector<Verb> others)
{
    others.push_back(makeCompletion());
    others.push_back(makeMan());
    return others;
}

} // namespace

Verb completionVerb(std::vector<Verb> others)
{
    auto verb = makeCompletion();
    verb.run = [all = describedVerbs(std::move(others))](const Invocation &invocation) {
        if (invocation.words != std::vector<std::string>{"bash"}) {
            return complain(invocation, "completion: expected the name of a shell: bash",
                            StatusUsage);
        }
        invocation.out << bashCompletion(all);
        return StatusDone;
    };
    return verb;
}

Verb manVerb(std::vector<Verb> others)
{
    auto verb = makeMan();
    verb.run = [all = describedVerbs(std::move(others))](const Invocation &invocation) {
        if (!invocation.words.empty()) {
            return complain(invocation, "man: expected no further words", StatusUsage);
        }
        invocation.out << manPage(all);
        return StatusDone;
    };
    return verb;
}

std::vector<Verb> withOperatorVerbs(Verb first)
{
    std::vector<Verb> verbs = {std::move(first), checkVerb(), patchVerb(), dumpVerb(),
                               statusVerb()};
    auto completion = completionVerb(verbs);
    auto man = manVerb(verbs);
    verbs.push_back(std::move(completion));
    verbs.push_back(std::move(man));
    return verbs;
}

} // namespace LaburnumChute::Operator

#include "LoadTool/Report.h"

#include <algorithm>
#include <unordered_map>

namespace LaburnumChute::LoadTool {

namespace {

constexpr std::size_t MaxRemarks = 10;

/// What all endpoints together did for one request of a caller.
struct Runs
{
    std::size_t count = 0;
    std::vector<std::uint64_t> tokenTimesMs;
};

/// The gateway appends ".<suffix>" for each try of its own.
std::string callersId(const std::string &requestId)
{
    return requestId.substr(0, requestId.rfind('.'));
}

using RunsById = std::unordered_map<std::string, Runs>;
using RunsByKey = std::unordered_map<std::string, std::size_t>;

void takeRun(const nlohmann::json &run, bool service, Report &report, RunsById &byId,
             RunsByKey &byKey)
{
    auto &runs = byId[callersId(run.value("request_id", ""))];
    // An engine that only held the request in its queue has not run it.
    const bool begun = service || run.value("engine_seconds", 0.0) > 0;
    runs.count += begun ? 1 : 0;
    const auto start = run.value("started_at_ms", std::uint64_t{0});
    for (const auto &time : run.value("token_times_ms", nlohmann::json::array())) {
        runs.tokenTimesMs.push_back(start + time.get<std::uint64_t>());
    }
    const auto key = run.value("idempotency_key", "");
    if (!key.empty()) {
        ++byKey[key];
    }
    report.tokens += run.value("tokens", std::size_t{0});
}

void takeRecords(const std::vector<nlohmann::json> &records, Report &report, RunsById &byId,
                 RunsByKey &byKey)
{
    for (const auto &record : records) {
        for (const auto &[id, endpoint] : record.items()) {
            const auto kind = endpoint.value("kind", "");
            if (kind.empty()) {
                continue;
            }
            for (const auto &run : endpoint.at("runs")) {
                takeRun(run, kind == "service", report, byId, byKey);
                if (kind == "engine") {
                    report.engineSeconds += run.value("engine_seconds", 0.0);
                    report.promptTokens += run.value("prompt_tokens", std::size_t{0});
                    report.cachedPromptTokens += run.value("cached_tokens", std::size_t{0});
                }
            }
        }
    }
}

void remark(Report &report, const Outcome &outcome, const std::string &what)
{
    if (report.remarks.size() < MaxRemarks) {
        report.remarks.push_back(
            fmt::format("{} {} ({}): {}", outcome.group, outcome.id, outcome.region, what));
    }
}

void takeCost(const Outcome &outcome, const RunsById &byId, Report &report)
{
    std::size_t runs = 0;
    for (const auto &id : outcome.tryIds) {
        const auto found = byId.find(id);
        if (found == byId.end()) {
            continue;
        }
        runs += found->second.count;
        if (outcome.end == End::Cancelled) {
            const auto &times = found->second.tokenTimesMs;
            report.tokensAfterCancel += static_cast<std::size_t>(
                std::count_if(times.begin(), times.end(), [&outcome](std::uint64_t time) {
                    return time > outcome.cancelledAtMs;
                }));
        }
    }
    report.cancelledUnrun += outcome.end == End::Cancelled && runs == 0 ? 1 : 0;
    for (const auto &id : outcome.notRun) {
        const auto found = byId.find(id);
        if (found != byId.end() && found->second.count > 0) {
            ++report.wrongNotRun;
            remark(report, outcome, "said not to have run, but it did: " + id);
        }
    }
}

void takeOutcome(const Plan &plan, const Outcome &outcome, Report &report)
{
    ++report.requests;
    report.tries += static_cast<std::size_t>(outcome.tries);
    report.cancelled += outcome.end == End::Cancelled ? 1 : 0;
    if (outcome.wanted) {
        ++report.wanted;
        const bool complete = outcome.end == End::Complete;
        report.complete += complete ? 1 : 0;
        if (!complete) {
            ++report.lost;
            remark(report, outcome,
                   fmt::format("lost after {} tries: {}, status {}, {}", outcome.tries,
                               toString(outcome.end), outcome.lastStatus, outcome.lastProblem));
        }
    }
    if (!outcome.corrupt.empty()) {
        ++report.corrupt;
        remark(report, outcome, "wrong answer: " + outcome.corrupt);
    }
    if (outcome.firstToken) {
        // The first byte of an answer that is not streamed comes with the last.
        auto &modelTimes = outcome.whole ? report.wholeTimes : report.firstToken;
        (outcome.model ? modelTimes : report.serviceTimes).push_back(*outcome.firstToken);
    }
    report.betweenTokens.insert(report.betweenTokens.end(), outcome.gaps.begin(),
                                outcome.gaps.end());
    const auto region = plan.endpointRegions.find(outcome.servedBy);
    if (region == plan.endpointRegions.end()) {
        return;
    }
    ++report.answered;
    if (region->second == outcome.region) {
        return;
    }
    ++report.away;
    if (outcome.homeOnly) {
        ++report.residencyBreaches;
        remark(report, outcome, "served in " + region->second);
    }
}

double milliseconds(Common::Duration duration)
{
    return Common::toSeconds(duration) * 1000;
}

std::string line(std::string_view name, const std::string &value)
{
    return fmt::format("  {:<34}{}\n", name, value);
}

std::string quantiles(const std::vector<Common::Duration> &values)
{
    return fmt::format("{:.1f} / {:.1f} / {:.1f} ms", milliseconds(quantile(values, 0.5)),
                       milliseconds(quantile(values, 0.99)), milliseconds(quantile(values, 0.999)));
}

double share(std::size_t part, std::size_t whole)
{
    return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

bool Report::good() const
{
    return lost + corrupt + duplicateRuns + wrongNotRun + residencyBreaches == 0 && complete > 0;
}

Common::Duration quantile(std::vector<Common::Duration> values, double fraction)
{
    if (values.empty()) {
        return {};
    }
    const auto last = static_cast<double>(values.size() - 1);
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(fraction * last);
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

Report evaluate(const Plan &plan, const std::vector<Outcome> &outcomes,
                const std::vector<nlohmann::json> &records)
{
    Report report;
    RunsById byId;
    RunsByKey byKey;
    takeRecords(records, report, byId, byKey);
    for (const auto &outcome : outcomes) {
        takeOutcome(plan, outcome, report);
        takeCost(outcome, byId, report);
    }
    for (const auto &[key, count] : byKey) {
        report.duplicateRuns += count - 1;
    }
    return report;
}

std::string table(const Report &report)
{
    const auto completed = static_cast<double>(std::max<std::size_t>(report.complete, 1));
    std::string out;
    out += line("requests / tries", fmt::format("{} / {}", report.requests, report.tries));
    out += line("wanted / complete", fmt::format("{} / {}", report.wanted, report.complete));
    out += line("cancelled by the caller",
                fmt::format("{} ({:.0f}%), of which never begun {}", report.cancelled,
                            share(report.cancelled, report.requests), report.cancelledUnrun));
    out += line("tokens generated", std::to_string(report.tokens));
    out += line("tokens generated after cancel",
                fmt::format("{} ({:.2f} a cancelled request)", report.tokensAfterCancel,
                            static_cast<double>(report.tokensAfterCancel)
                                / static_cast<double>(std::max<std::size_t>(report.cancelled, 1))));
    out += line("time to first token p50/p99/p999", quantiles(report.firstToken));
    out += line("time between tokens p50/p99/p999", quantiles(report.betweenTokens));
    out += line("whole answer p50/p99/p999", quantiles(report.wholeTimes));
    out += line("plain service call p50/p99/p999", quantiles(report.serviceTimes));
    out += line("served away from home",
                fmt::format("{} of {} ({:.1f}%)", report.away, report.answered,
                            share(report.away, report.answered)));
    out += line("prompt tokens found in cache",
                fmt::format("{:.0f}%", share(report.cachedPromptTokens, report.promptTokens)));
    out +=
        line("engine seconds", fmt::format("{:.1f}, {:.3f} a completed wanted request",
                                           report.engineSeconds, report.engineSeconds / completed));
    out += line("lost / wrong answers", fmt::format("{} / {}", report.lost, report.corrupt));
    out += line("run twice / wrong \"not run\"",
                fmt::format("{} / {}", report.duplicateRuns, report.wrongNotRun));
    out += line("residency breaches", std::to_string(report.residencyBreaches));
    for (const auto &text : report.remarks) {
        out += "  ! " + text + "\n";
    }
    return out;
}

} // namespace LaburnumChute::LoadTool

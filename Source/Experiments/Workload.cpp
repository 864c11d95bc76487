#include "Workload.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numbers>
#include <random>
#include <unordered_set>

namespace LaburnumChute::Experiments {

namespace {

using Decisions::AdapterName;
using Decisions::ModelName;
using Decisions::Patience;
using Decisions::Target;

constexpr double PeakPeriodSeconds = 120;
constexpr int Regions = 3;

std::uint64_t blockHash(std::uint64_t kind, std::uint64_t conversation, std::uint64_t index)
{
    const std::string text =
        std::to_string(kind) + "/" + std::to_string(conversation) + "/" + std::to_string(index);
    return Common::stableHash(text);
}

/// Multiplies the rate of new conversations of a model.
using Scales = std::map<std::string, double>;

double scaleOf(const Scales &scales, const std::string &model)
{
    const auto found = scales.find(model);
    return found == scales.end() ? 1 : found->second;
}

/// Makes the calls of one trace.
class Generator
{
public:
    Generator(const TraceOptions &options, Scales scales)
        : options_(options)
        , scales_(std::move(scales))
        , random_(options.seed)
    {
    }

    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(random_);
    }
    std::int64_t whole(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
    }
    bool chance(double share)
    {
        return uniform(0, 1) < share;
    }
    double lognormal(double median, double sigma)
    {
        return std::lognormal_distribution<double>(std::log(median), sigma)(random_);
    }

    /// Start times of a region's conversations with a model: Poisson, with its peaks.
    template <typename Start>
    void conversations(const std::string &model, double perSecond, Start start)
    {
        for (int region = 0; region < Regions; ++region) {
            double at = 0;
            const double highest =
                perSecond * scaleOf(scales_, model) * (1 + options_.regionalPeaks);
            while (true) {
                at += std::exponential_distribution<double>(highest)(random_);
                if (at > options_.seconds) {
                    break;
                }
                const double phase =
                    2 * std::numbers::pi * (at / PeakPeriodSeconds + region / double{Regions});
                const double rate =
                    (1 + options_.regionalPeaks * std::sin(phase)) / (1 + options_.regionalPeaks);
                if (chance(rate)) {
                    start(region, at);
                }
            }
        }
    }

    /// One draft or prompt line after the other until one is kept. `kind` and `templateBlocks` give
    /// the prefix that all share, `contextBlocks` the part that the conversation shares.
    void retyped(const Call &call, std::uint64_t kind, int templateBlocks, int contextBlocks,
                 double at)
    {
        const auto conversation = ++conversations_;
        std::optional<std::size_t> previous;
        while (at < options_.seconds) {
            Call next = call;
            next.atSeconds = at;
            next.blocks.clear();
            for (int block = 0; block < templateBlocks; ++block) {
                next.blocks.push_back(blockHash(kind, 0, static_cast<std::uint64_t>(block)));
            }
            for (int block = 0; block < contextBlocks; ++block) {
                next.blocks.push_back(
                    blockHash(kind, conversation, static_cast<std::uint64_t>(block)));
            }
            const auto tail = whole(20, 120);
            next.promptTokens = static_cast<std::int64_t>(next.blocks.size()) * 64 + tail;
            next.outputTokens = whole(call.maxTokens / 3, call.maxTokens);
            if (previous && chance(0.5)) {
                next.supersedes = previous;
            }
            const bool abandoned = chance(options_.abandonment);
            if (abandoned) {
                next.leavesAfterSeconds = std::min(10.0, lognormal(1.2, 0.8));
            }
            previous = calls.size();
            calls.push_back(next);
            if (!abandoned) {
                return;
            }
            at += *next.leavesAfterSeconds + uniform(0.2, 1.0);
        }
    }

    std::vector<Call> calls;

private:
    TraceOptions options_;
    Scales scales_;
    std::mt19937_64 random_;
    std::uint64_t conversations_ = 0;
};

std::vector<Call> otaruCalls(const TraceOptions &options, const Scales &scales)
{
    Generator make(options, scales);
    make.conversations("inscription", 8, [&](int region, double at) {
        Call call;
        call.region = region;
        const double popular = std::pow(make.uniform(0, 1), 2);
        call.customer = "office" + std::to_string(static_cast<int>(popular * 40));
        call.homeOnly = make.chance(0.2);
        call.target = Target::model(ModelName("inscription"));
        call.maxTokens = make.whole(80, 200);
        make.retyped(call, 1, 8, static_cast<int>(make.whole(4, 24)), at);
    });
    make.conversations("order-desk", 2, [&](int region, double at) {
        Call call;
        call.region = region;
        call.customer = "office" + std::to_string(make.whole(0, 39));
        call.target = Target::model(ModelName("order-desk"));
        call.maxTokens = make.whole(60, 120);
        make.retyped(call, 2, 12, static_cast<int>(make.whole(2, 8)), at);
    });
    return std::move(make.calls);
}

std::vector<Call> caroniCalls(const TraceOptions &options, const Scales &scales)
{
    Generator make(options, scales);
    make.conversations("hotline", 5, [&](int region, double at) {
        Call call;
        call.region = region;
        call.customer = "depot" + std::to_string(make.whole(0, 11));
        call.target = Target::model(ModelName("hotline"));
        call.patience = Patience::Short;
        call.maxTokens = make.whole(30, 80);
        make.retyped(call, 3, 6, static_cast<int>(make.whole(2, 12)), at);
    });
    make.conversations("hotline", 0.6, [&](int region, double at) {
        Call call;
        call.region = region;
        call.customer = "depot" + std::to_string(make.whole(0, 11));
        call.target = Target::model(ModelName("hotline"));
        call.priority = 1;
        call.patience = Patience::Long;
        call.atSeconds = at;
        call.promptTokens = make.whole(4000, 12000);
        call.maxTokens = 400;
        call.outputTokens = make.whole(200, 400);
        make.calls.push_back(call);
    });
    make.conversations("dispatch-desk", 1.5, [&](int region, double at) {
        Call call;
        call.region = region;
        call.customer = "depot" + std::to_string(make.whole(0, 11));
        call.target = Target::model(ModelName("dispatch-desk"));
        call.maxTokens = make.whole(60, 120);
        make.retyped(call, 4, 10, static_cast<int>(make.whole(2, 6)), at);
    });
    return std::move(make.calls);
}

struct Work
{
    double wantedSeconds = 0;
    double allSeconds = 0;
    std::size_t wanted = 0;
};

/// Engine seconds of the trace with an unlimited cache and full batches.
Work leastWork(const std::vector<Call> &calls, const EngineProfile &profile)
{
    Work work;
    std::unordered_set<std::uint64_t> wantedBlocks;
    std::unordered_set<std::uint64_t> allBlocks;
    const auto prefill = [&](const Call &call, std::unordered_set<std::uint64_t> &known) {
        auto tokens = call.promptTokens;
        for (const auto block : call.blocks) {
            tokens -= known.insert(block).second ? 0 : 64;
        }
        return static_cast<double>(std::max<std::int64_t>(1, tokens))
               / profile.prefillTokensPerSecond;
    };
    const double stepSeconds = profile.stepSeconds(profile.batchLimit, 0);
    for (const auto &call : calls) {
        const auto output = static_cast<double>(call.outputTokens);
        const double decoded =
            std::min(output, call.leavesAfterSeconds.value_or(1e9) / stepSeconds);
        work.allSeconds += prefill(call, allBlocks) + decoded * profile.fullBatchTokenSeconds();
        if (!call.leavesAfterSeconds) {
            work.wantedSeconds +=
                prefill(call, wantedBlocks) + output * profile.fullBatchTokenSeconds();
            ++work.wanted;
        }
    }
    return work;
}

using MakeCalls = std::vector<Call> (*)(const TraceOptions &, const Scales &);

Trace calibrated(Fleet fleet, MakeCalls makeCalls, const TraceOptions &options,
                 const EngineProfile &profile)
{
    std::map<std::string, double> runners;
    for (const auto &runner : fleet.runners) {
        runners[runner.target.name] += 1;
    }
    Scales scales;
    for (int round = 0; round < 3; ++round) {
        const auto calls = makeCalls(options, scales);
        for (const auto &[model, count] : runners) {
            std::vector<Call> ofModel;
            for (const auto &call : calls) {
                if (call.target.name == model) {
                    ofModel.push_back(call);
                }
            }
            const double offered = options.load * options.seconds * count;
            scales[model] =
                scaleOf(scales, model) * offered / leastWork(ofModel, profile).allSeconds;
        }
    }
    Trace trace;
    trace.fleet = std::move(fleet);
    trace.calls = makeCalls(options, scales);
    const auto work = leastWork(trace.calls, profile);
    trace.leastCost = work.wantedSeconds / static_cast<double>(work.wanted);
    trace.leastCostWithoutForesight = work.allSeconds / static_cast<double>(work.wanted);
    return trace;
}

Fleet fleetOf(const std::string &name, const std::vector<std::string> &regions, double megabits,
              const std::vector<std::pair<std::string, int>> &models)
{
    Fleet fleet;
    fleet.name = name;
    fleet.regions = regions;
    fleet.linkMegabitsPerSecond = megabits;
    for (const auto &[model, perRegion] : models) {
        for (int region = 0; region < Regions; ++region) {
            for (int index = 0; index < perRegion; ++index) {
                const auto id = model + "-" + regions[static_cast<std::size_t>(region)] + "-"
                                + std::to_string(index);
                fleet.runners.push_back({id, region, Target::model(ModelName(model))});
            }
        }
    }
    return fleet;
}

} // namespace

Trace otaruTrace(const TraceOptions &options, const EngineProfile &profile)
{
    return calibrated(fleetOf("otaru", {"sapporo", "asahikawa", "hakodate"}, 140,
                              {{"inscription", 4}, {"order-desk", 1}}),
                      otaruCalls, options, profile);
}

Trace caroniTrace(const TraceOptions &options, const EngineProfile &profile)
{
    return calibrated(fleetOf("caroni", {"north", "central", "south"}, 2000,
                              {{"hotline", 3}, {"dispatch-desk", 1}}),
                      caroniCalls, options, profile);
}

} // namespace LaburnumChute::Experiments

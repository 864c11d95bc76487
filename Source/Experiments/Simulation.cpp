#include <algorithm>

#include "SimulationParts.h"

namespace LaburnumChute::Experiments {

namespace {

using namespace Decisions;

constexpr double CallerLinkSeconds = 0.003;
constexpr double EngineLinkSeconds = 0.001;
/// Before a trace's last answers are in.
constexpr double DrainSeconds = 60;

std::size_t callOf(const RequestId &id)
{
    return std::stoul(id.text());
}

} // namespace

double Figures::cost() const
{
    return completed == 0 ? 0 : engineSeconds / static_cast<double>(completed);
}

double Figures::quantile(const std::vector<double> &sorted, double fraction)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto position = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size()));
    return sorted[std::min(position, sorted.size() - 1)];
}

bool Simulation::Later::operator()(const Event &one, const Event &other) const
{
    return one.at != other.at ? one.at > other.at : one.serial > other.serial;
}

Simulation::Simulation(const Trace &trace, const EngineProfile &profile,
                       const SchedulerOptions &policy, const SimulationOptions &options)
    : trace_(trace)
    , options_(options)
    , now_(start())
    , random_(options.seed)
    , callers_(trace.calls.size())
{
    for (const auto &runner : trace.fleet.runners) {
        EngineProfile own = profile;
        own.slowness = engines_.empty() ? options.slowEngine : 1;
        engines_.push_back(std::make_unique<Engine>(runner, own));
        engineById_[runner.id] = engines_.back().get();
    }
    for (int region = 0; region < static_cast<int>(trace.fleet.regions.size()); ++region) {
        for (int index = 0; index < options.instancesPerRegion; ++index) {
            const auto &name = trace.fleet.regions[static_cast<std::size_t>(region)];
            const auto id = name + "-" + std::to_string(index);
            gateways_.push_back(std::make_unique<Gateway>(policy, id, region, name, random_()));
        }
    }
    const std::vector<InstanceId> instances(static_cast<std::size_t>(options.instancesPerRegion));
    for (auto &gateway : gateways_) {
        gateway->scheduler.updateInstances(instances, now_);
    }
    listEndpoints();
}

Simulation::~Simulation() = default;

Time Simulation::start() const
{
    return Time() + std::chrono::hours(1);
}

void Simulation::at(Time time, std::function<void()> action)
{
    events_.push({time, ++serial_, std::move(action)});
}

void Simulation::after(double seconds, std::function<void()> action)
{
    at(now_ + fromSeconds(seconds), std::move(action));
}

Simulation::Gateway &Simulation::randomGateway(int region)
{
    const auto perRegion = static_cast<std::size_t>(options_.instancesPerRegion);
    std::uniform_int_distribution<std::size_t> pick(0, perRegion - 1);
    return *gateways_[static_cast<std::size_t>(region) * perRegion + pick(random_)];
}

RequestFacts Simulation::facts(std::size_t index, int attempt, Time now) const
{
    const auto &call = trace_.calls[index];
    RequestFacts facts;
    facts.id = RequestId(std::to_string(index));
    facts.customer = CustomerName(call.customer);
    facts.target = call.target;
    facts.priority = call.priority;
    facts.patience = call.patience;
    facts.promptTokens = call.promptTokens;
    facts.expectedOutputTokens = call.maxTokens;
    facts.prefixBlocks = call.blocks;
    facts.repeatable = true;
    facts.fingerprint = index + 1;
    facts.attempt = attempt;
    facts.deadline = now + fromSeconds(options_.longestWaitSeconds);
    for (std::size_t region = 0; region < trace_.fleet.regions.size(); ++region) {
        if (!call.homeOnly || static_cast<int>(region) == call.region) {
            facts.allowedRegions.emplace_back(trace_.fleet.regions[region]);
        }
    }
    return facts;
}

void Simulation::arrive(std::size_t index, int attempt)
{
    if (callers_[index].left || callers_[index].gaveUp) {
        return;
    }
    submitAt(randomGateway(trace_.calls[index].region), index, attempt, "");
}

void Simulation::submitAt(Gateway &gateway, std::size_t index, int attempt, const std::string &from)
{
    auto request = facts(index, attempt, now_);
    request.forwardedFrom = RegionName(from);
    if (from.empty()) {
        const auto &supersedes = trace_.calls[index].supersedes;
        callers_[index].gateway = &gateway;
        // The retyped draft may come to another instance than its predecessor, which then hears of
        // it from there.
        if (supersedes && callers_[*supersedes].gateway == &gateway) {
            request.supersedes = RequestId(std::to_string(*supersedes));
        } else if (supersedes) {
            leave(*supersedes);
        }
    }
    apply(gateway, gateway.scheduler.submit(std::move(request), now_));
}

void Simulation::leave(std::size_t index)
{
    auto *gateway = callers_[index].gateway;
    callers_[index].left = true;
    if (gateway != nullptr) {
        apply(*gateway, gateway->scheduler.cancel(RequestId(std::to_string(index)), now_));
    }
}

void Simulation::apply(Gateway &gateway, const Effects &effects)
{
    for (const auto &effect : effects) {
        std::visit([&](const auto &one) { perform(gateway, one); }, effect);
    }
}

void Simulation::perform(Gateway &gateway, const Dispatch &effect)
{
    ++figures_.dispatches;
    const auto index = callOf(effect.request);
    auto *engine = engineById_.at(effect.endpoint.text());
    after(EngineLinkSeconds, [this, &gateway, engine, index] {
        const auto &call = trace_.calls[index];
        if (engine->lost) {
            apply(gateway, gateway.scheduler.finished(RequestId(std::to_string(index)),
                                                      EndpointId(engine->runner.id),
                                                      Outcome::NotStarted, now_));
            return;
        }
        EngineRequest request{std::to_string(index), call.priority, call.promptTokens,
                              call.outputTokens, call.blocks};
        engine->gatewayOf[request.id] = &gateway;
        engine->fake.submit(std::move(request));
        startStep(*engine);
    });
}

void Simulation::perform(Gateway &gateway, const Forward &effect)
{
    ++figures_.forwards;
    const auto index = callOf(effect.request);
    const auto &names = trace_.fleet.regions;
    const auto region = std::find(names.begin(), names.end(), effect.region.text());
    auto &target = randomGateway(static_cast<int>(region - names.begin()));
    gateway.forwardedTo[index] = &target;
    target.origin[index] = &gateway;
    const std::string from = names[static_cast<std::size_t>(gateway.region)];
    after(RegionLinkSeconds, [this, &target, index, from] { submitAt(target, index, 0, from); });
}

void Simulation::perform(Gateway &gateway, const Reject &effect)
{
    const auto index = callOf(effect.request);
    const auto origin = gateway.origin.find(index);
    if (origin != gateway.origin.end()) {
        auto *home = origin->second;
        gateway.origin.erase(origin);
        after(RegionLinkSeconds, [this, home, index] {
            apply(*home, home->scheduler.finished(RequestId(std::to_string(index)), EndpointId(),
                                                  Outcome::NotStarted, now_));
        });
        return;
    }
    ++figures_.refusals;
    const double back = Common::toSeconds(effect.retryAfter) + 2 * CallerLinkSeconds;
    after(back, [this, index] { arrive(index, 1); });
}

void Simulation::perform(Gateway & /*gateway*/, const Drop & /*effect*/) { }

void Simulation::perform(Gateway &gateway, const CancelOnEndpoint &effect)
{
    const auto index = callOf(effect.request);
    if (effect.endpoint.empty()) {
        auto *target = gateway.forwardedTo[index];
        after(RegionLinkSeconds, [this, &gateway, target, index] {
            const RequestId id(std::to_string(index));
            apply(*target, target->scheduler.cancel(id, now_));
            apply(gateway, gateway.scheduler.finished(id, EndpointId(), Outcome::Cancelled, now_));
        });
        return;
    }
    auto *engine = engineById_.at(effect.endpoint.text());
    after(EngineLinkSeconds, [this, &gateway, engine, index] {
        const auto id = std::to_string(index);
        engine->fake.cancel(id);
        if (engine->gatewayOf.erase(id) == 0) {
            return;
        }
        after(EngineLinkSeconds, [this, &gateway, engine, id] {
            apply(gateway, gateway.scheduler.finished(RequestId(id), EndpointId(engine->runner.id),
                                                      Outcome::Cancelled, now_));
        });
    });
}

void Simulation::startStep(Engine &engine)
{
    if (engine.stepping || engine.lost || !engine.fake.hasWork()) {
        return;
    }
    engine.stepping = true;
    auto step = engine.fake.step();
    const auto ends = now_ + step.duration;
    at(ends, [this, &engine, step = std::move(step)] { endStep(engine, step); });
}

void Simulation::endStep(Engine &engine, const EngineStep &step)
{
    engine.stepping = false;
    if (engine.lost) {
        return;
    }
    for (const auto &[id, count] : step.tokens) {
        tokenArrived(engine, id, count);
    }
    for (const auto &id : step.completed) {
        completed(engine, id);
    }
    startStep(engine);
}

void Simulation::tokenArrived(Engine &engine, const std::string &id, std::int64_t count)
{
    const auto found = engine.gatewayOf.find(id);
    if (found == engine.gatewayOf.end()) {
        return;
    }
    const auto index = std::stoul(id);
    auto &caller = callers_[index];
    ++figures_.tokens;
    figures_.abandonedTokens += trace_.calls[index].leavesAfterSeconds ? 1 : 0;
    const double passed = Common::toSeconds(now_ - start()) - trace_.calls[index].atSeconds;
    const auto &leaves = trace_.calls[index].leavesAfterSeconds;
    figures_.tokensAfterLeaving += leaves && passed > *leaves ? 1 : 0;
    auto &gateway = *found->second;
    const EndpointId endpoint(engine.runner.id);
    if (caller.firstToken < 0) {
        const bool away = gateway.origin.count(index) != 0;
        caller.firstToken =
            passed + CallerLinkSeconds + EngineLinkSeconds + (away ? RegionLinkSeconds : 0);
    }
    if (count == 1) {
        apply(gateway, gateway.scheduler.firstToken(RequestId(id), endpoint, now_));
    }
    apply(gateway, gateway.scheduler.progress(RequestId(id), endpoint, count, now_));
}

void Simulation::completed(Engine &engine, const std::string &id)
{
    const auto found = engine.gatewayOf.find(id);
    if (found == engine.gatewayOf.end()) {
        return;
    }
    auto &gateway = *found->second;
    engine.gatewayOf.erase(found);
    const auto index = std::stoul(id);
    auto &caller = callers_[index];
    caller.completed = !caller.left && !caller.gaveUp;
    const RequestId request(id);
    apply(gateway, gateway.scheduler.finished(request, EndpointId(engine.runner.id),
                                              Outcome::Completed, now_));
    const auto origin = gateway.origin.find(index);
    if (origin != gateway.origin.end()) {
        auto *home = origin->second;
        gateway.origin.erase(origin);
        after(RegionLinkSeconds, [this, home, request] {
            apply(*home, home->scheduler.finished(request, EndpointId(), Outcome::Completed, now_));
        });
    }
}

Figures Simulation::run()
{
    for (std::size_t index = 0; index < trace_.calls.size(); ++index) {
        const auto &call = trace_.calls[index];
        at(start() + fromSeconds(call.atSeconds + CallerLinkSeconds),
           [this, index] { arrive(index, 0); });
        if (call.leavesAfterSeconds) {
            at(start() + fromSeconds(call.atSeconds + *call.leavesAfterSeconds + CallerLinkSeconds),
               [this, index] { leave(index); });
        } else {
            at(start() + fromSeconds(call.atSeconds + options_.longestWaitSeconds), [this, index] {
                if (callers_[index].firstToken < 0) {
                    callers_[index].gaveUp = true;
                    leave(index);
                }
            });
        }
    }
    if (options_.lostShare > 0) {
        at(start() + fromSeconds(options_.lostFromSeconds), [this] { setLost(true); });
        at(start() + fromSeconds(options_.lostUntilSeconds), [this] { setLost(false); });
    }
    report();
    exchangeRegions();
    tickAll();
    const double last = trace_.calls.empty() ? 0 : trace_.calls.back().atSeconds;
    double end = last;
    for (const auto &call : trace_.calls) {
        end = std::max(end, call.atSeconds);
    }
    const Time stop = start() + fromSeconds(end + DrainSeconds);
    while (!events_.empty() && events_.top().at <= stop) {
        auto event = events_.top();
        events_.pop();
        now_ = event.at;
        event.action();
    }
    return figures();
}

Figures Simulation::figures()
{
    for (std::size_t index = 0; index < trace_.calls.size(); ++index) {
        const auto &call = trace_.calls[index];
        const auto &caller = callers_[index];
        if (call.leavesAfterSeconds) {
            continue;
        }
        figures_.completed += caller.completed ? 1 : 0;
        if (call.atSeconds < options_.warmUpSeconds) {
            continue;
        }
        ++figures_.wanted;
        figures_.unserved += caller.firstToken < 0 ? 1 : 0;
        const double first =
            caller.firstToken < 0 ? options_.longestWaitSeconds : caller.firstToken;
        figures_.firstToken.push_back(first);
        // Histories are of another kind than the prompt lines of the same model.
        const std::string kind = call.patience == Patience::Long ? "long" : call.target.name;
        figures_.firstTokenByModel[kind].push_back(first);
    }
    std::sort(figures_.firstToken.begin(), figures_.firstToken.end());
    for (auto &[model, first] : figures_.firstTokenByModel) {
        std::sort(first.begin(), first.end());
    }
    for (const auto &engine : engines_) {
        figures_.engineSeconds += engine->fake.busySeconds();
    }
    return figures_;
}

} // namespace LaburnumChute::Experiments

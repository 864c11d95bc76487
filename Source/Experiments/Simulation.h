#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "FakeEngine.h"
#include "Workload.h"

namespace LaburnumChute::Experiments {

struct SimulationOptions
{
    int instancesPerRegion = 1;
    double reportEverySeconds = 0.25;
    double reportLagSeconds = 0.5;
    std::uint64_t seed = 7;
    /// Calls before this are not counted: caches are cold.
    double warmUpSeconds = 20;
    /// A wanted caller gives up after this long without a first token.
    double longestWaitSeconds = 30;
    /// Between two points in time this share of all engines, those of the first region first, is
    /// gone.
    double lostShare = 0;
    double lostFromSeconds = 100;
    double lostUntilSeconds = 200;
    /// One engine of the first region takes this many times as long for each step.
    double slowEngine = 1;
};

struct Figures
{
    std::size_t wanted = 0;
    std::size_t completed = 0;
    /// Wanted callers who gave up without a first token.
    std::size_t unserved = 0;
    std::size_t refusals = 0;
    std::size_t dispatches = 0;
    std::size_t forwards = 0;
    double engineSeconds = 0;
    std::int64_t tokens = 0;
    /// Generated for callers who left, in all and after they had left.
    std::int64_t abandonedTokens = 0;
    std::int64_t tokensAfterLeaving = 0;
    /// Seconds to the first token of wanted calls, sorted; those unserved count the longest wait.
    std::vector<double> firstToken;
    /// The same for each model.
    std::map<std::string, std::vector<double>> firstTokenByModel;

    double cost() const;
    static double quantile(const std::vector<double> &sorted, double fraction);
};

/// Plays one trace against one policy in virtual time: schedulers, links as fixed delays, and fake
/// engines. It knows of no membership, configuration or transport.
class Simulation
{
public:
    Simulation(const Trace &trace, const EngineProfile &profile,
               const Decisions::SchedulerOptions &policy, const SimulationOptions &options);
    ~Simulation();

    Figures run();

private:
    struct Gateway;
    struct Engine;
    struct Caller;
    struct Event
    {
        Time at{};
        std::uint64_t serial = 0;
        std::function<void()> action;
    };
    struct Later
    {
        bool operator()(const Event &one, const Event &other) const;
    };

    void at(Time time, std::function<void()> action);
    void after(double seconds, std::function<void()> action);
    void arrive(std::size_t call, int attempt);
    void submitAt(Gateway &gateway, std::size_t call, int attempt, const std::string &from);
    void leave(std::size_t call);
    void apply(Gateway &gateway, const Decisions::Effects &effects);
    void perform(Gateway &gateway, const Decisions::Dispatch &effect);
    void perform(Gateway &gateway, const Decisions::Forward &effect);
    void perform(Gateway &gateway, const Decisions::Reject &effect);
    void perform(Gateway &gateway, const Decisions::Drop &effect);
    void perform(Gateway &gateway, const Decisions::CancelOnEndpoint &effect);
    void startStep(Engine &engine);
    void endStep(Engine &engine, const EngineStep &step);
    void tokenArrived(Engine &engine, const std::string &id, std::int64_t count);
    void completed(Engine &engine, const std::string &id);
    void report();
    bool lostEvent();
    void exchangeRegions();
    void tickAll();
    void setLost(bool lost);
    void listEndpoints();
    Decisions::RequestFacts facts(std::size_t call, int attempt, Time now) const;
    Gateway &randomGateway(int region);
    Time start() const;
    Figures figures();

    const Trace &trace_;
    SimulationOptions options_;
    Time now_{};
    std::uint64_t serial_ = 0;
    std::mt19937_64 random_;
    std::priority_queue<Event, std::vector<Event>, Later> events_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::vector<std::unique_ptr<Engine>> engines_;
    std::unordered_map<std::string, Engine *> engineById_;
    std::vector<Caller> callers_;
    Figures figures_;
};

} // namespace LaburnumChute::Experiments

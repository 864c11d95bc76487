#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "Decisions/Decisions.h"

namespace LaburnumChute::Experiments {

using Common::Duration;
using Common::Time;

/// Service time of a model engine: continuous batching, chunked prefill, a prefix cache in limited
/// memory. The figures are of the size that 7 to 13 billion parameter models show on one
/// accelerator; only their relations matter to a comparison of policies.
struct EngineProfile
{
    int batchLimit = 16;
    double stepBaseSeconds = 0.012;
    double stepSecondsPerSequence = 0.0006;
    double prefillTokensPerSecond = 8000;
    int prefillTokensPerStep = 1024;
    std::size_t cacheBlocks = 2000;
    /// Multiplies each step's time: above 1 for a slow endpoint.
    double slowness = 1;

    double stepSeconds(int decoding, double prefillTokens) const;
    /// Engine seconds of one decoded token at full batch.
    double fullBatchTokenSeconds() const;
};

struct EngineRequest
{
    std::string id;
    int priority = 0;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    std::vector<std::uint64_t> blocks;
};

/// What one step of the engine brought forth.
struct EngineStep
{
    Duration duration{0};
    std::vector<std::string> firstTokens;
    /// Every request that got one token, with the count so far.
    std::vector<std::pair<std::string, std::int64_t>> tokens;
    std::vector<std::string> completed;
};

struct CacheEvent
{
    Decisions::CacheOperation operation = Decisions::CacheOperation::Stored;
    std::uint64_t block = 0;
};

class FakeEngine
{
public:
    explicit FakeEngine(const EngineProfile &profile);

    void submit(EngineRequest request);
    /// Tokens generated until then.
    std::int64_t cancel(const std::string &id);
    bool hasWork() const;
    EngineStep step();

    Decisions::LoadReport report() const;
    /// What happened in the cache since the last call.
    std::vector<CacheEvent> takeCacheEvents();
    double busySeconds() const
    {
        return busySeconds_;
    }

private:
    struct Sequence
    {
        EngineRequest request;
        std::int64_t prefillLeft = 0;
        std::int64_t generated = 0;
    };

    void admit();
    std::int64_t cachedTokens(const EngineRequest &request);
    void store(const std::vector<std::uint64_t> &blocks);
    void touch(std::uint64_t block);

    EngineProfile profile_;
    std::list<EngineRequest> waiting_;
    std::list<Sequence> running_;
    std::list<std::uint64_t> cacheByAge_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache_;
    std::vector<CacheEvent> cacheEvents_;
    double busySeconds_ = 0;
    double lastStepSeconds_ = 0;
};

} // namespace LaburnumChute::Experiments

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Common/Common.h"
#include "StandIns/PrefixCache.h"

namespace LaburnumChute::StandIns {

/// How fast an engine is and what it can hold.
struct BatchSettings
{
    std::size_t batchLimit = 16;
    /// Time of a step with an empty batch, and what each sequence that decodes adds.
    Common::Duration stepBase = Common::milliseconds(8);
    Common::Duration stepPerSequence = Common::microseconds(500);
    double prefillTokensPerSecond = 8000;
    /// Prompt tokens that one step takes in at most, shared by the sequences in prefill.
    std::size_t prefillChunkTokens = 512;
    /// Memory for running sequences and cached prefixes together.
    std::size_t kvLimitTokens = 60000;
    /// A sequence whose reader lags by this many tokens pauses.
    std::size_t pauseAheadTokens = 256;
};

/// A request as the scheduler sees it.
struct Sequence
{
    std::uint64_t id = 0;
    /// Lower is first.
    int priority = 0;
    std::size_t promptTokens = 0;
    std::vector<std::uint64_t> chain;
    std::size_t maxTokens = 0;

    // Kept by the scheduler.
    bool begun = false;
    std::size_t cachedTokens = 0;
    std::size_t prefillLeft = 0;
    std::size_t generated = 0;
    std::size_t read = 0;
    double engineSeconds = 0;
};

/// A token that a step gave, and whether it was the last one.
struct TokenEvent
{
    std::uint64_t sequence = 0;
    std::size_t index = 0;
    bool last = false;
};

/// Continuous batching: sequences join and leave the batch between steps; a step decodes one token
/// of each sequence that is past its prefill and takes in a chunk of prompts. The caller sleeps for
/// the duration that beginStep() gives, then calls finishStep().
class BatchScheduler
{
public:
    explicit BatchScheduler(BatchSettings settings);

    /// False when the sequence can never fit into memory.
    bool submit(Sequence sequence);
    /// Removes the sequence and returns its final state; nothing when it is unknown.
    std::optional<Sequence> remove(std::uint64_t id);
    /// Tells how far the reader has come.
    void setRead(std::uint64_t id, std::size_t tokens);
    const Sequence *find(std::uint64_t id) const;

    /// Duration of the next step; nothing when there is no work that can go on.
    std::optional<Common::Duration> beginStep(Common::Time now);
    std::vector<TokenEvent> finishStep(Common::Time now);

    std::size_t running() const
    {
        return running_;
    }
    std::size_t waiting() const
    {
        return sequences_.size() - running_;
    }
    /// Tokens held by running sequences.
    std::size_t usedTokens() const
    {
        return usedTokens_;
    }
    Common::Duration lastStep() const
    {
        return lastStep_;
    }
    PrefixCache &cache()
    {
        return cache_;
    }
    const BatchSettings &settings() const
    {
        return settings_;
    }
    /// Forgets all sequences and the cache, as a crash does.
    void reset(Common::Time now);

private:
    void admit(Common::Time now);
    void resizeCache(Common::Time now);

    BatchSettings settings_;
    std::map<std::uint64_t, Sequence> sequences_;
    /// Sequences of the step under way: those that decode, and prompt tokens taken in.
    std::vector<std::uint64_t> decoding_;
    std::map<std::uint64_t, std::size_t> prefilling_;
    std::size_t running_ = 0;
    std::size_t usedTokens_ = 0;
    Common::Duration lastStep_{};
    Common::Duration decodePart_{};
    PrefixCache cache_;
};

} // namespace LaburnumChute::StandIns

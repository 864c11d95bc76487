#include "StandIns/BatchScheduler.h"

#include <algorithm>

#include "StandIns/TokenText.h"

namespace LaburnumChute::StandIns {

namespace {

std::size_t reservedTokens(const Sequence &sequence)
{
    return sequence.promptTokens + sequence.maxTokens;
}

} // namespace

BatchScheduler::BatchScheduler(BatchSettings settings)
    : settings_(settings)
{
    cache_.setCapacity(settings_.kvLimitTokens / BlockTokens, {});
}

bool BatchScheduler::submit(Sequence sequence)
{
    if (reservedTokens(sequence) > settings_.kvLimitTokens) {
        return false;
    }
    sequences_[sequence.id] = std::move(sequence);
    return true;
}

std::optional<Sequence> BatchScheduler::remove(std::uint64_t id)
{
    const auto found = sequences_.find(id);
    if (found == sequences_.end()) {
        return std::nullopt;
    }
    auto sequence = std::move(found->second);
    sequences_.erase(found);
    if (sequence.begun) {
        --running_;
        usedTokens_ -= reservedTokens(sequence);
    }
    return sequence;
}

void BatchScheduler::setRead(std::uint64_t id, std::size_t tokens)
{
    const auto found = sequences_.find(id);
    if (found != sequences_.end()) {
        found->second.read = tokens;
    }
}

const Sequence *BatchScheduler::find(std::uint64_t id) const
{
    const auto found = sequences_.find(id);
    return found == sequences_.end() ? nullptr : &found->second;
}

std::optional<Common::Duration> BatchScheduler::beginStep(Common::Time now)
{
    admit(now);
    decoding_.clear();
    prefilling_.clear();
    std::size_t budget = settings_.prefillChunkTokens;
    std::size_t taken = 0;
    for (auto &[id, sequence] : sequences_) {
        if (!sequence.begun) {
            continue;
        }
        if (sequence.prefillLeft == 0) {
            if (sequence.generated < sequence.read + settings_.pauseAheadTokens) {
                decoding_.push_back(id);
            }
            continue;
        }
        const auto chunk = std::min(budget, sequence.prefillLeft);
        if (chunk > 0) {
            prefilling_[id] = chunk;
            budget -= chunk;
            taken += chunk;
        }
    }
    if (decoding_.empty() && prefilling_.empty()) {
        return std::nullopt;
    }
    decodePart_ = settings_.stepBase
                  + settings_.stepPerSequence * static_cast<std::int64_t>(decoding_.size());
    const std::chrono::duration<double> prefill(static_cast<double>(taken)
                                                / settings_.prefillTokensPerSecond);
    lastStep_ = decodePart_ + std::chrono::duration_cast<Common::Duration>(prefill);
    return lastStep_;
}

std::vector<TokenEvent> BatchScheduler::finishStep(Common::Time now)
{
    std::vector<TokenEvent> events;
    const auto members = static_cast<double>(decoding_.size() + prefilling_.size());
    const double share = Common::toSeconds(decodePart_) / members;
    for (const auto &[id, chunk] : prefilling_) {
        const auto found = sequences_.find(id);
        if (found == sequences_.end()) {
            continue;
        }
        auto &sequence = found->second;
        sequence.prefillLeft -= chunk;
        sequence.engineSeconds +=
            share + static_cast<double>(chunk) / settings_.prefillTokensPerSecond;
        if (sequence.prefillLeft == 0) {
            cache_.store(sequence.chain, now);
        }
    }
    for (const auto id : decoding_) {
        const auto found = sequences_.find(id);
        if (found == sequences_.end()) {
            continue;
        }
        auto &sequence = found->second;
        sequence.engineSeconds += share;
        ++sequence.generated;
        events.push_back({id, sequence.generated, sequence.generated >= sequence.maxTokens});
    }
    return events;
}

void BatchScheduler::admit(Common::Time now)
{
    std::vector<Sequence *> candidates;
    for (auto &[id, sequence] : sequences_) {
        if (!sequence.begun) {
            candidates.push_back(&sequence);
        }
    }
    // Stable, and the map is in order of arrival: first come, first served within a priority.
    std::stable_sort(
        candidates.begin(), candidates.end(),
        [](const Sequence *a, const Sequence *b) { return a->priority < b->priority; });
    for (auto *sequence : candidates) {
        if (running() >= settings_.batchLimit
            || usedTokens() + reservedTokens(*sequence) > settings_.kvLimitTokens) {
            break;
        }
        sequence->begun = true;
        ++running_;
        usedTokens_ += reservedTokens(*sequence);
        sequence->cachedTokens = cache_.cachedBlocks(sequence->chain) * BlockTokens;
        // The last token of a prompt is always computed: its output is the first new token.
        sequence->prefillLeft =
            std::max<std::size_t>(sequence->promptTokens - sequence->cachedTokens, 1);
    }
    resizeCache(now);
}

void BatchScheduler::resizeCache(Common::Time now)
{
    cache_.setCapacity((settings_.kvLimitTokens - usedTokens()) / BlockTokens, now);
}

void BatchScheduler::reset(Common::Time now)
{
    sequences_.clear();
    running_ = 0;
    usedTokens_ = 0;
    decoding_.clear();
    prefilling_.clear();
    cache_.clear(now);
}

} // namespace LaburnumChute::StandIns

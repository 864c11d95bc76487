#include "FakeEngine.h"

#include <algorithm>

namespace LaburnumChute::Experiments {

double EngineProfile::stepSeconds(int decoding, double prefillTokens) const
{
    return slowness
           * (stepBaseSeconds + stepSecondsPerSequence * decoding
              + prefillTokens / prefillTokensPerSecond);
}

double EngineProfile::fullBatchTokenSeconds() const
{
    return stepSeconds(batchLimit, 0) / batchLimit;
}

FakeEngine::FakeEngine(const EngineProfile &profile)
    : profile_(profile)
    , lastStepSeconds_(profile.stepSeconds(profile.batchLimit, 0))
{
}

void FakeEngine::submit(EngineRequest request)
{
    const auto later = std::find_if(waiting_.begin(), waiting_.end(), [&](const auto &other) {
        return other.priority > request.priority;
    });
    waiting_.insert(later, std::move(request));
}

std::int64_t FakeEngine::cancel(const std::string &id)
{
    waiting_.remove_if([&](const auto &request) { return request.id == id; });
    std::int64_t generated = 0;
    running_.remove_if([&](const auto &sequence) {
        const bool found = sequence.request.id == id;
        generated = found ? sequence.generated : generated;
        return found;
    });
    return generated;
}

bool FakeEngine::hasWork() const
{
    return !waiting_.empty() || !running_.empty();
}

void FakeEngine::touch(std::uint64_t block)
{
    const auto found = cache_.find(block);
    if (found != cache_.end()) {
        cacheByAge_.splice(cacheByAge_.end(), cacheByAge_, found->second);
        return;
    }
    cacheByAge_.push_back(block);
    cache_[block] = std::prev(cacheByAge_.end());
    cacheEvents_.push_back({Decisions::CacheOperation::Stored, block});
    if (cacheByAge_.size() > profile_.cacheBlocks) {
        cacheEvents_.push_back({Decisions::CacheOperation::Evicted, cacheByAge_.front()});
        cache_.erase(cacheByAge_.front());
        cacheByAge_.pop_front();
    }
}

void FakeEngine::store(const std::vector<std::uint64_t> &blocks)
{
    // The end of a prefix is evicted before its start, which more requests share.
    for (std::size_t index = blocks.size(); index > 0; --index) {
        touch(blocks[index - 1]);
    }
}

std::int64_t FakeEngine::cachedTokens(const EngineRequest &request)
{
    std::int64_t cached = 0;
    for (const auto block : request.blocks) {
        if (cache_.count(block) == 0) {
            break;
        }
        cached += 64;
    }
    return std::min(cached, request.promptTokens - 1);
}

void FakeEngine::admit()
{
    while (!waiting_.empty() && running_.size() < static_cast<std::size_t>(profile_.batchLimit)) {
        Sequence sequence;
        sequence.request = std::move(waiting_.front());
        waiting_.pop_front();
        sequence.prefillLeft = sequence.request.promptTokens - cachedTokens(sequence.request);
        running_.push_back(std::move(sequence));
    }
}

EngineStep FakeEngine::step()
{
    admit();
    EngineStep result;
    std::int64_t chunk = profile_.prefillTokensPerStep;
    std::int64_t prefilled = 0;
    int decoding = 0;
    for (auto sequence = running_.begin(); sequence != running_.end();) {
        if (sequence->prefillLeft > 0) {
            const auto part = std::min(chunk, sequence->prefillLeft);
            sequence->prefillLeft -= part;
            chunk -= part;
            prefilled += part;
            if (sequence->prefillLeft > 0) {
                ++sequence;
                continue;
            }
            store(sequence->request.blocks);
            result.firstTokens.push_back(sequence->request.id);
        } else {
            ++decoding;
        }
        ++sequence->generated;
        result.tokens.emplace_back(sequence->request.id, sequence->generated);
        const bool ended = sequence->generated >= sequence->request.outputTokens;
        if (ended) {
            result.completed.push_back(sequence->request.id);
        }
        sequence = ended ? running_.erase(sequence) : std::next(sequence);
    }
    const double seconds = profile_.stepSeconds(decoding, static_cast<double>(prefilled));
    busySeconds_ += seconds;
    lastStepSeconds_ = profile_.stepSeconds(std::max(1, decoding), 0);
    result.duration = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    return result;
}

std::vector<CacheEvent> FakeEngine::takeCacheEvents()
{
    return std::exchange(cacheEvents_, {});
}

Decisions::LoadReport FakeEngine::report() const
{
    Decisions::LoadReport report;
    report.running = static_cast<std::int64_t>(running_.size());
    report.waiting = static_cast<std::int64_t>(waiting_.size());
    report.batchLimit = profile_.batchLimit;
    report.kvLimitTokens = static_cast<std::int64_t>(profile_.cacheBlocks) * 64;
    report.kvUsedTokens = static_cast<std::int64_t>(cache_.size()) * 64;
    report.stepTime =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(lastStepSeconds_));
    report.prefillTokensPerSecond = profile_.prefillTokensPerSecond / profile_.slowness;
    return report;
}

} // namespace LaburnumChute::Experiments

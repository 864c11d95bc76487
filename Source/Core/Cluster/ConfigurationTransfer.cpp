#include "Cluster/ConfigurationTransfer.h"

#include <algorithm>

#include "Cluster/Delta.h"
#include "Common/Hash.h"

namespace LaburnumChute::Cluster {

namespace {

constexpr std::size_t MaxHolders = 4;
/// Unanswered requests in a row after which the fetch is abandoned until the version is announced
/// again.
constexpr int MaxFailures = 8;
constexpr std::size_t MaxCachedDeltas = 8;
/// A delta larger than this fraction of the content is not worth the effort; the full content is
/// sent.
constexpr double MaxDeltaRatio = 0.5;
/// Maximum number of chunks sent per request, whatever was requested.
constexpr std::size_t MaxWindowChunks = 64;

std::size_t chunkCount(std::size_t bytes)
{
    return (bytes + ChunkBytes - 1) / ChunkBytes;
}

} // namespace

ConfigurationFetch::ConfigurationFetch(const ClusterOptions &options)
    : options_(options)
{
}

std::optional<ConfigurationFetch::Request>
ConfigurationFetch::onAnnouncement(const Address &holder, const ConfigurationDigest &digest,
                                   const ConfigurationStore &store, Common::Time now)
{
    if (!store.isNeeded(digest)) {
        return std::nullopt;
    }
    if (fetch_ && fetch_->wanted == digest) {
        auto &holders = fetch_->holders;
        const bool known = std::find(holders.begin(), holders.end(), holder) != holders.end();
        if (!known && holders.size() < MaxHolders) {
            holders.push_back(holder);
        }
        return std::nullopt;
    }
    // A fetch in progress is finished first. Otherwise an instance would never complete one while
    // new versions are published faster than they can be fetched.
    if (fetch_ && store.isNeeded(fetch_->wanted)) {
        return std::nullopt;
    }
    fetch_ = Fetch{};
    fetch_->wanted = digest;
    fetch_->holders = {holder};
    return nextRequest(store, now);
}

ConfigurationFetch::Request ConfigurationFetch::nextRequest(const ConfigurationStore &store,
                                                            Common::Time now)
{
    const std::size_t chunks = fetch_->received.size();
    const std::size_t last = fetch_->firstMissing + options_.chunkWindow;
    fetch_->windowEnd = chunks == 0 ? last : std::min(chunks, last);
    fetch_->deadline = now + options_.chunkTimeout;
    ConfigurationRequest request;
    request.wanted = fetch_->wanted;
    request.base = fetch_->fullOnly ? ConfigurationDigest{} : store.digest();
    request.offset = static_cast<std::uint32_t>(fetch_->firstMissing * ChunkBytes);
    request.chunks = static_cast<std::uint16_t>(fetch_->windowEnd - fetch_->firstMissing);
    return {fetch_->holders[fetch_->holder], request};
}

void ConfigurationFetch::startTransfer(const ConfigurationChunk &chunk)
{
    fetch_->base = chunk.base;
    fetch_->transferSize = chunk.transferSize;
    fetch_->bytes.assign(chunk.transferSize, '\0');
    fetch_->received.assign(chunkCount(chunk.transferSize), false);
    fetch_->firstMissing = 0;
    fetch_->windowEnd = std::min(fetch_->received.size(), options_.chunkWindow);
}

std::optional<ConfigurationFetch::Request>
ConfigurationFetch::receive(const Address &, const ConfigurationChunk &chunk,
                            const ConfigurationStore &store, Common::Time now)
{
    const bool isValid = chunk.transferSize > 0 && chunk.transferSize <= MaxContentBytes
                         && chunk.offset % ChunkBytes == 0
                         && std::size_t{chunk.offset} + chunk.bytes.size() <= chunk.transferSize;
    if (!fetch_ || chunk.version != fetch_->wanted || !isValid) {
        return std::nullopt;
    }
    // Holders with different histories send the same version as different deltas or in full.
    if (fetch_->received.empty() || chunk.base != fetch_->base
        || chunk.transferSize != fetch_->transferSize) {
        startTransfer(chunk);
    }
    const std::size_t index = chunk.offset / ChunkBytes;
    const std::size_t expected = std::min(ChunkBytes, fetch_->transferSize - index * ChunkBytes);
    if (chunk.bytes.size() != expected) {
        return std::nullopt;
    }
    std::copy(chunk.bytes.begin(), chunk.bytes.end(), fetch_->bytes.begin() + chunk.offset);
    fetch_->received[index] = true;
    fetch_->failures = 0;
    while (fetch_->firstMissing < fetch_->received.size()
           && fetch_->received[fetch_->firstMissing]) {
        ++fetch_->firstMissing;
    }
    if (fetch_->firstMissing == fetch_->received.size()) {
        assemble(store);
        return fetch_ ? std::optional(nextRequest(store, now)) : std::nullopt;
    }
    return windowComplete() ? std::optional(nextRequest(store, now)) : std::nullopt;
}

bool ConfigurationFetch::windowComplete() const
{
    return fetch_->firstMissing >= fetch_->windowEnd;
}

void ConfigurationFetch::assemble(const ConfigurationStore &store)
{
    std::string content = std::move(fetch_->bytes);
    if (fetch_->base.number != 0) {
        const std::string *base = store.content(fetch_->base);
        auto patched = base == nullptr ? Common::Result<std::string>()
                                       : applyDelta(*base, content, MaxContentBytes);
        content = patched ? std::move(*patched) : std::string();
    }
    if (Common::stableHash(content) == fetch_->wanted.hash) {
        complete_ = ConfigurationVersion{fetch_->wanted.number, std::move(content)};
        fetch_.reset();
        return;
    }
    ++hashMismatches_;
    const bool triedFull = fetch_->fullOnly;
    Fetch retry;
    retry.wanted = fetch_->wanted;
    retry.holders = fetch_->holders;
    retry.holder = (fetch_->holder + 1) % retry.holders.size();
    retry.fullOnly = true;
    fetch_.reset();
    if (!triedFull) {
        fetch_ = std::move(retry);
    }
}

std::optional<ConfigurationFetch::Request> ConfigurationFetch::tick(const ConfigurationStore &store,
                                                                    Common::Time now)
{
    if (!fetch_) {
        return std::nullopt;
    }
    if (!store.isNeeded(fetch_->wanted) || fetch_->failures >= MaxFailures) {
        fetch_.reset();
        return std::nullopt;
    }
    if (now < fetch_->deadline) {
        return std::nullopt;
    }
    ++fetch_->failures;
    fetch_->holder = (fetch_->holder + 1) % fetch_->holders.size();
    return nextRequest(store, now);
}

void ConfigurationFetch::postpone(Common::Duration gap)
{
    if (fetch_) {
        fetch_->deadline += gap;
    }
}

std::optional<ConfigurationVersion> ConfigurationFetch::takeComplete()
{
    return std::exchange(complete_, std::nullopt);
}

std::vector<ConfigurationChunk> ConfigurationSource::makeChunks(const ConfigurationRequest &request,
                                                                const ConfigurationStore &store)
{
    const std::string *content = store.content(request.wanted);
    if (content == nullptr) {
        return {};
    }
    const Transfer *transfer = findOrMakeDelta(request, store);
    const std::string &bytes = transfer == nullptr ? *content : transfer->bytes;
    const ConfigurationDigest base = transfer == nullptr ? ConfigurationDigest{} : transfer->base;
    std::vector<ConfigurationChunk> chunks;
    const std::size_t wanted = std::min<std::size_t>(request.chunks, MaxWindowChunks);
    for (std::size_t i = 0; i < wanted; ++i) {
        const std::size_t offset = request.offset + i * ChunkBytes;
        if (offset >= bytes.size()) {
            break;
        }
        chunks.push_back({request.wanted, base, static_cast<std::uint32_t>(bytes.size()),
                          static_cast<std::uint32_t>(offset), bytes.substr(offset, ChunkBytes)});
    }
    return chunks;
}

const ConfigurationSource::Transfer *
ConfigurationSource::findOrMakeDelta(const ConfigurationRequest &request,
                                     const ConfigurationStore &store)
{
    const std::string *base = store.content(request.base);
    const std::string *content = store.content(request.wanted);
    if (base == nullptr || content->size() <= ChunkBytes) {
        return nullptr;
    }
    auto it = std::find_if(deltas_.begin(), deltas_.end(), [&](const Transfer &transfer) {
        return transfer.version == request.wanted && transfer.base == request.base;
    });
    if (it == deltas_.end()) {
        Transfer transfer{request.wanted, request.base, makeDelta(*base, *content)};
        const auto maxDeltaBytes = static_cast<double>(content->size()) * MaxDeltaRatio;
        if (static_cast<double>(transfer.bytes.size()) > maxDeltaBytes) {
            transfer.bytes.clear();
        }
        if (deltas_.size() >= MaxCachedDeltas) {
            deltas_.pop_front();
        }
        deltas_.push_back(std::move(transfer));
        it = std::prev(deltas_.end());
    }
    return it->bytes.empty() ? nullptr : &*it;
}

} // namespace LaburnumChute::Cluster

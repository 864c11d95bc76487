#include "Cluster/ConfigurationTransfer.h"

#include <algorithm>

#include "Cluster/Delta.h"
#include "Common/Hash.h"

namespace LaburnumChute::Cluster {

namespace {

constexpr std::size_t MaxHolders = 4;
/// Requests without any chunk in answer after which the fetch is given up, until the version is
/// heard of again.
constexpr int MaxFailures = 8;
constexpr std::size_t KeptDeltas = 8;
/// A delta of more than this share of the content is not worth a second copy of the work.
constexpr double WorthwhileDelta = 0.5;
/// Largest window a holder answers, whatever was asked.
constexpr std::size_t MaxWindow = 64;

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
ConfigurationFetch::heard(const Address &holder, const ConfigurationDigest &digest,
                          const ConfigurationStore &store, Common::Time now)
{
    if (!store.wants(digest)) {
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
    // A fetch under way is finished first: versions that follow each other faster than one can be
    // fetched would otherwise keep an instance from ever completing one.
    if (fetch_ && store.wants(fetch_->wanted)) {
        return std::nullopt;
    }
    fetch_ = Fetch{};
    fetch_->wanted = digest;
    fetch_->holders = {holder};
    return ask(store, now);
}

ConfigurationFetch::Request ConfigurationFetch::ask(const ConfigurationStore &store,
                                                    Common::Time now)
{
    const std::size_t chunks = fetch_->have.size();
    const std::size_t last = fetch_->firstMissing + options_.chunkWindow;
    fetch_->windowEnd = chunks == 0 ? last : std::min(chunks, last);
    fetch_->deadline = now + options_.chunkTimeout;
    ConfigurationRequest request;
    request.wanted = fetch_->wanted;
    request.base = fetch_->wholeOnly ? ConfigurationDigest{} : store.digest();
    request.offset = static_cast<std::uint32_t>(fetch_->firstMissing * ChunkBytes);
    request.chunks = static_cast<std::uint16_t>(fetch_->windowEnd - fetch_->firstMissing);
    return {fetch_->holders[fetch_->holder], request};
}

void ConfigurationFetch::begin(const ConfigurationChunk &chunk)
{
    fetch_->base = chunk.base;
    fetch_->transferSize = chunk.transferSize;
    fetch_->bytes.assign(chunk.transferSize, '\0');
    fetch_->have.assign(chunkCount(chunk.transferSize), false);
    fetch_->firstMissing = 0;
    fetch_->windowEnd = std::min(fetch_->have.size(), options_.chunkWindow);
}

std::optional<ConfigurationFetch::Request>
ConfigurationFetch::receive(const Address &, const ConfigurationChunk &chunk,
                            const ConfigurationStore &store, Common::Time now)
{
    const bool sane = chunk.transferSize > 0 && chunk.transferSize <= MaxContentBytes
                      && chunk.offset % ChunkBytes == 0
                      && std::size_t{chunk.offset} + chunk.bytes.size() <= chunk.transferSize;
    if (!fetch_ || chunk.version != fetch_->wanted || !sane) {
        return std::nullopt;
    }
    // Holders with different histories send different transfers of the same version.
    if (fetch_->have.empty() || chunk.base != fetch_->base
        || chunk.transferSize != fetch_->transferSize) {
        begin(chunk);
    }
    const std::size_t index = chunk.offset / ChunkBytes;
    const std::size_t expected = std::min(ChunkBytes, fetch_->transferSize - index * ChunkBytes);
    if (chunk.bytes.size() != expected) {
        return std::nullopt;
    }
    std::copy(chunk.bytes.begin(), chunk.bytes.end(), fetch_->bytes.begin() + chunk.offset);
    fetch_->have[index] = true;
    fetch_->failures = 0;
    while (fetch_->firstMissing < fetch_->have.size() && fetch_->have[fetch_->firstMissing]) {
        ++fetch_->firstMissing;
    }
    if (fetch_->firstMissing == fetch_->have.size()) {
        assemble(store);
        return fetch_ ? std::optional(ask(store, now)) : std::nullopt;
    }
    return windowComplete() ? std::optional(ask(store, now)) : std::nullopt;
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
    ++wrongContents_;
    const bool triedWhole = fetch_->wholeOnly;
    Fetch again;
    again.wanted = fetch_->wanted;
    again.holders = fetch_->holders;
    again.holder = (fetch_->holder + 1) % again.holders.size();
    again.wholeOnly = true;
    fetch_.reset();
    if (!triedWhole) {
        fetch_ = std::move(again);
    }
}

std::optional<ConfigurationFetch::Request> ConfigurationFetch::tick(const ConfigurationStore &store,
                                                                    Common::Time now)
{
    if (!fetch_) {
        return std::nullopt;
    }
    if (!store.wants(fetch_->wanted) || fetch_->failures >= MaxFailures) {
        fetch_.reset();
        return std::nullopt;
    }
    if (now < fetch_->deadline) {
        return std::nullopt;
    }
    ++fetch_->failures;
    fetch_->holder = (fetch_->holder + 1) % fetch_->holders.size();
    return ask(store, now);
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

std::vector<ConfigurationChunk> ConfigurationSource::answer(const ConfigurationRequest &request,
                                                            const ConfigurationStore &store)
{
    const std::string *content = store.content(request.wanted);
    if (content == nullptr) {
        return {};
    }
    const Transfer *transfer = delta(request, store);
    const std::string &bytes = transfer == nullptr ? *content : transfer->bytes;
    const ConfigurationDigest base = transfer == nullptr ? ConfigurationDigest{} : transfer->base;
    std::vector<ConfigurationChunk> chunks;
    const std::size_t wanted = std::min<std::size_t>(request.chunks, MaxWindow);
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

const ConfigurationSource::Transfer *ConfigurationSource::delta(const ConfigurationRequest &request,
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
        const auto worthwhile = static_cast<double>(content->size()) * WorthwhileDelta;
        if (static_cast<double>(transfer.bytes.size()) > worthwhile) {
            transfer.bytes.clear();
        }
        if (deltas_.size() >= KeptDeltas) {
            deltas_.pop_front();
        }
        deltas_.push_back(std::move(transfer));
        it = std::prev(deltas_.end());
    }
    return it->bytes.empty() ? nullptr : &*it;
}

} // namespace LaburnumChute::Cluster

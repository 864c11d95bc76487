#include "Cluster/ConfigurationStore.h"

#include <algorithm>

#include "Common/Hash.h"

namespace LaburnumChute::Cluster {

namespace {

/// Numbers whose hashes are remembered to find conflicts; at 8,300 changes a day about the last
/// three hours.
constexpr std::size_t RememberedNumbers = 1024;
constexpr std::size_t RememberedConflicts = 256;

} // namespace

ConfigurationStore::ConfigurationStore(std::size_t historyBytes)
    : historyBytes_(historyBytes)
{
}

void ConfigurationStore::offer(const ConfigurationVersion &version,
                               const Common::InstanceId &holder, Effects &effects)
{
    const ConfigurationDigest digest{version.number, Common::stableHash(version.content)};
    checkHash(digest, holder, effects);
    if (!wants(digest)) {
        staleOffers_ += version.number < digest_.number ? 1 : 0;
        return;
    }
    if (!next_ || next_->digest.number < digest.number) {
        next_ = Held{digest, version.content};
    }
    judgeNext(effects);
}

void ConfigurationStore::compare(const ConfigurationDigest &digest,
                                 const Common::InstanceId &holder, Effects &effects)
{
    // A digest alone is not remembered as the first content: its holder may be wrong, or gone
    // before anyone has the content.
    if (digest.number != 0 && hashes_.contains(digest.number)) {
        checkHash(digest, holder, effects);
    }
}

void ConfigurationStore::checkHash(const ConfigurationDigest &digest,
                                   const Common::InstanceId &holder, Effects &effects)
{
    const auto first = hashes_.find(digest.number);
    if (first == hashes_.end()) {
        remember(digest);
        return;
    }
    if (first->second == digest.hash) {
        return;
    }
    if (reportedConflicts_.size() >= RememberedConflicts) {
        reportedConflicts_.clear();
        conflictNumbers_.clear();
    }
    conflictNumbers_.insert(digest.number);
    if (reportedConflicts_.emplace(digest.number, digest.hash).second) {
        effects.push_back(ConfigurationConflict{digest.number, first->second, digest.hash, holder});
    }
}

void ConfigurationStore::remember(const ConfigurationDigest &digest)
{
    hashes_.emplace(digest.number, digest.hash);
    if (hashes_.size() > RememberedNumbers) {
        hashes_.erase(hashes_.begin());
    }
}

bool ConfigurationStore::wants(const ConfigurationDigest &digest) const
{
    const auto rejected = rejected_.find(digest.number);
    const bool refused = rejected != rejected_.end() && rejected->second == digest.hash;
    const auto first = hashes_.find(digest.number);
    const bool other = first != hashes_.end() && first->second != digest.hash;
    const bool pending = (judging_ && judging_->digest.number >= digest.number)
                         || (next_ && next_->digest.number >= digest.number);
    return digest.number > digest_.number && !refused && !other && !pending;
}

void ConfigurationStore::release(Effects &effects)
{
    held_ = false;
    judgeNext(effects);
}

void ConfigurationStore::judgeNext(Effects &effects)
{
    if (held_ || judging_ || !next_) {
        return;
    }
    judging_ = std::move(next_);
    next_.reset();
    effects.push_back(ValidateConfiguration{judging_->digest.number, judging_->content});
}

void ConfigurationStore::judged(Common::ConfigurationNumber number,
                                const Common::Result<void> &verdict, Effects &effects)
{
    if (!judging_ || judging_->digest.number != number) {
        return;
    }
    Held version = std::move(*judging_);
    judging_.reset();
    if (!verdict) {
        rejected_[number] = version.digest.hash;
        if (rejected_.size() > RememberedNumbers) {
            rejected_.erase(rejected_.begin());
        }
        effects.push_back(ConfigurationRejected{number, verdict.error().message});
    } else {
        adopt(std::move(version), effects);
    }
    judgeNext(effects);
}

void ConfigurationStore::adopt(Held version, Effects &effects)
{
    if (digest_.number != 0) {
        history_.push_back({digest_, std::move(current_.content)});
    }
    std::size_t bytes = 0;
    for (const Held &old : history_) {
        bytes += old.content.size();
    }
    while (bytes > historyBytes_) {
        bytes -= history_.front().content.size();
        history_.pop_front();
    }
    digest_ = version.digest;
    current_ = {version.digest.number, std::move(version.content)};
    effects.push_back(ConfigurationAdopted{current_.number, current_.content});
}

Common::ConfigurationNumber ConfigurationStore::newestMet() const
{
    Common::ConfigurationNumber newest = digest_.number;
    if (judging_) {
        newest = std::max(newest, judging_->digest.number);
    }
    if (next_) {
        newest = std::max(newest, next_->digest.number);
    }
    if (!rejected_.empty()) {
        newest = std::max(newest, rejected_.rbegin()->first);
    }
    return newest;
}

const std::string *ConfigurationStore::content(const ConfigurationDigest &digest) const
{
    if (digest == digest_ && digest.number != 0) {
        return &current_.content;
    }
    const auto it = std::find_if(history_.begin(), history_.end(),
                                 [&](const Held &old) { return old.digest == digest; });
    return it == history_.end() ? nullptr : &it->content;
}

} // namespace LaburnumChute::Cluster

#include "Cluster/ConfigurationStore.h"

#include <algorithm>

#include "Common/Hash.h"

namespace LaburnumChute::Cluster {

namespace {

/// Numbers whose hashes are kept to detect conflicts.
constexpr std::size_t MaxTrackedNumbers = 1024;
constexpr std::size_t MaxTrackedConflicts = 256;

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
    if (!isNeeded(digest)) {
        staleOffers_ += version.number < digest_.number ? 1 : 0;
        return;
    }
    if (!next_ || next_->digest.number < digest.number) {
        next_ = StoredVersion{digest, version.content};
    }
    validateNext(effects);
}

void ConfigurationStore::compare(const ConfigurationDigest &digest,
                                 const Common::InstanceId &holder, Effects &effects)
{
    // A digest alone is not recorded as the first content: its holder may be wrong, or disappear
    // before anyone has fetched the content.
    if (digest.number != 0 && hashes_.contains(digest.number)) {
        checkHash(digest, holder, effects);
    }
}

void ConfigurationStore::checkHash(const ConfigurationDigest &digest,
                                   const Common::InstanceId &holder, Effects &effects)
{
    const auto first = hashes_.find(digest.number);
    if (first == hashes_.end()) {
        recordHash(digest);
        return;
    }
    if (first->second == digest.hash) {
        return;
    }
    if (reportedConflicts_.size() >= MaxTrackedConflicts) {
        reportedConflicts_.clear();
        conflictNumbers_.clear();
    }
    conflictNumbers_.insert(digest.number);
    if (reportedConflicts_.emplace(digest.number, digest.hash).second) {
        effects.push_back(ConfigurationConflict{digest.number, first->second, digest.hash, holder});
    }
}

void ConfigurationStore::recordHash(const ConfigurationDigest &digest)
{
    hashes_.emplace(digest.number, digest.hash);
    if (hashes_.size() > MaxTrackedNumbers) {
        hashes_.erase(hashes_.begin());
    }
}

bool ConfigurationStore::isNeeded(const ConfigurationDigest &digest) const
{
    const auto rejected = rejected_.find(digest.number);
    const bool isRejected = rejected != rejected_.end() && rejected->second == digest.hash;
    const auto first = hashes_.find(digest.number);
    const bool isConflicting = first != hashes_.end() && first->second != digest.hash;
    const bool isPending = (validating_ && validating_->digest.number >= digest.number)
                           || (next_ && next_->digest.number >= digest.number);
    return digest.number > digest_.number && !isRejected && !isConflicting && !isPending;
}

void ConfigurationStore::release(Effects &effects)
{
    held_ = false;
    validateNext(effects);
}

void ConfigurationStore::validateNext(Effects &effects)
{
    if (held_ || validating_ || !next_) {
        return;
    }
    validating_ = std::move(next_);
    next_.reset();
    effects.push_back(ValidateConfiguration{validating_->digest.number, validating_->content});
}

void ConfigurationStore::validated(Common::ConfigurationNumber number,
                                   const Common::Result<void> &result, Effects &effects)
{
    if (!validating_ || validating_->digest.number != number) {
        return;
    }
    StoredVersion version = std::move(*validating_);
    validating_.reset();
    if (!result) {
        rejected_[number] = version.digest.hash;
        if (rejected_.size() > MaxTrackedNumbers) {
            rejected_.erase(rejected_.begin());
        }
        effects.push_back(ConfigurationRejected{number, result.error().message});
    } else {
        adopt(std::move(version), effects);
    }
    validateNext(effects);
}

void ConfigurationStore::adopt(StoredVersion version, Effects &effects)
{
    if (digest_.number != 0) {
        history_.push_back({digest_, std::move(current_.content)});
    }
    std::size_t bytes = 0;
    for (const StoredVersion &old : history_) {
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

Common::ConfigurationNumber ConfigurationStore::newestSeen() const
{
    Common::ConfigurationNumber newest = digest_.number;
    if (validating_) {
        newest = std::max(newest, validating_->digest.number);
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
                                 [&](const StoredVersion &old) { return old.digest == digest; });
    return it == history_.end() ? nullptr : &it->content;
}

} // namespace LaburnumChute::Cluster

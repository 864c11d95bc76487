#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "Cluster/Effects.h"
#include "Common/Error.h"

namespace LaburnumChute::Cluster {

/// The version in force, the one being judged, and what is known of others. Every way by which a
/// version can reach this instance ends in offer(), so that the rules stand in one place:
/// - a number only grows, whoever offers a lower one: a stale service, one that was set back, or a
///   peer from the other side of a partition;
/// - the first content met under a number stays, and another content under it is an alarm;
/// - a version that is judged invalid is not asked for again, and the last good one stays in force.
class ConfigurationStore
{
public:
    explicit ConfigurationStore(std::size_t historyBytes);

    /// A whole version, from the service (no holder) or a peer.
    void offer(const ConfigurationVersion &version, const Common::InstanceId &holder,
               Effects &effects);
    /// Compares what a peer holds with what was met under its number.
    void compare(const ConfigurationDigest &digest, const Common::InstanceId &holder,
                 Effects &effects);
    void validated(Common::ConfigurationNumber number, const Common::Result<void> &result,
                   Effects &effects);
    /// While held, offers are kept and nothing is put in force. A new instance knows nothing: a
    /// stale service would put an old version in force on it though its peers are further. It is
    /// released when it has heard its peers.
    void release(Effects &effects);
    bool held() const
    {
        return held_;
    }

    /// True when a version of this digest would be of use.
    bool isNeeded(const ConfigurationDigest &digest) const;
    const ConfigurationVersion &current() const
    {
        return current_;
    }
    ConfigurationDigest digest() const
    {
        return digest_;
    }
    /// The number above which the service is read: what is in force, being judged or refused.
    Common::ConfigurationNumber newestSeen() const;
    /// The content of the current or of a recent version.
    const std::string *content(const ConfigurationDigest &digest) const;
    std::uint64_t staleOffers() const
    {
        return staleOffers_;
    }
    const std::set<Common::ConfigurationNumber> &conflicts() const
    {
        return conflictNumbers_;
    }

private:
    struct StoredVersion
    {
        ConfigurationDigest digest;
        std::string content;
    };

    void checkHash(const ConfigurationDigest &digest, const Common::InstanceId &holder,
                   Effects &effects);
    void recordHash(const ConfigurationDigest &digest);
    void validateNext(Effects &effects);
    void adopt(StoredVersion version, Effects &effects);

    std::size_t historyBytes_;
    bool held_ = true;
    ConfigurationVersion current_;
    ConfigurationDigest digest_;
    std::optional<StoredVersion> validating_;
    /// Offered while another version was being judged, or while held.
    std::optional<StoredVersion> next_;
    std::map<Common::ConfigurationNumber, std::uint64_t> hashes_;
    std::map<Common::ConfigurationNumber, std::uint64_t> rejected_;
    std::set<std::pair<Common::ConfigurationNumber, std::uint64_t>> reportedConflicts_;
    std::set<Common::ConfigurationNumber> conflictNumbers_;
    std::deque<StoredVersion> history_;
    std::uint64_t staleOffers_ = 0;
};

} // namespace LaburnumChute::Cluster

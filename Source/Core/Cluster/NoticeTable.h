#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "Cluster/Types.h"

namespace LaburnumChute::Cluster {

/// The notices in force. It holds a bounded number: when full it drops the one that would expire
/// first, so that a flood of notices costs memory of a known size.
class NoticeTable
{
public:
    explicit NoticeTable(std::size_t maxNotices);

    /// True when the notice was not known or is newer than the one held.
    bool apply(const Notice &notice, Common::Time now);
    void expire(Common::Time now);

    std::vector<Notice> all(Common::Time now) const;
    /// Some of the notices, chosen at random, up to a size.
    std::vector<Notice> sample(std::size_t maxBytes, std::mt19937_64 &random,
                               Common::Time now) const;
    const Notice *find(NoticeKind kind, const std::string &subject) const;
    /// Equal on two instances that hold the same notices.
    std::uint64_t hash() const
    {
        return hash_;
    }

private:
    using Key = std::pair<NoticeKind, std::string>;
    struct Entry
    {
        Notice notice;
        Common::Time expires;
    };

    static std::uint64_t hashOf(const Notice &notice);
    void erase(std::map<Key, Entry>::iterator it);
    void evictIfFull();

    std::size_t maxNotices_;
    std::map<Key, Entry> entries_;
    std::uint64_t hash_ = 0;
};

} // namespace LaburnumChute::Cluster

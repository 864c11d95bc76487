#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "Cluster/Types.h"

namespace LaburnumChute::Cluster {

/// The active notices. Their number is bounded to limit memory: when the table is full, the notice
/// that would expire first is evicted.
class NoticeTable
{
public:
    explicit NoticeTable(std::size_t maxNotices);

    /// Returns true if the notice is new or newer than the stored one.
    bool apply(const Notice &notice, Common::Time now);
    void expire(Common::Time now);

    std::vector<Notice> all(Common::Time now) const;
    /// Returns a random selection of the notices, up to a size.
    std::vector<Notice> sample(std::size_t maxBytes, std::mt19937_64 &random,
                               Common::Time now) const;
    const Notice *find(NoticeKind kind, const std::string &subject) const;
    /// Equal on two instances that have the same notices.
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

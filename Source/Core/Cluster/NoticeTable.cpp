#include "Cluster/NoticeTable.h"

#include <algorithm>

#include "Cluster/Codec.h"
#include "Common/Hash.h"

namespace LaburnumChute::Cluster {

namespace {

/// A notice with a shorter remaining lifetime is neither accepted nor forwarded: it could expire in
/// transit, and two instances would keep sending it to each other.
constexpr Common::milliseconds MinLifetime{200};
constexpr Common::milliseconds MaxLifetime{60 * 60 * 1000};

} // namespace

NoticeTable::NoticeTable(std::size_t maxNotices)
    : maxNotices_(maxNotices)
{
}

bool NoticeTable::apply(const Notice &notice, Common::Time now)
{
    if (notice.lifetime < MinLifetime) {
        return false;
    }
    const Key key{notice.kind, notice.subject};
    const auto it = entries_.find(key);
    if (it != entries_.end()) {
        if (it->second.notice.version >= notice.version) {
            return false;
        }
        erase(it);
    }
    evictIfFull();
    const auto lifetime = std::min(notice.lifetime, MaxLifetime);
    entries_.emplace(key, Entry{notice, now + lifetime});
    hash_ ^= hashOf(notice);
    return true;
}

void NoticeTable::expire(Common::Time now)
{
    for (auto it = entries_.begin(); it != entries_.end();) {
        const auto next = std::next(it);
        if (now >= it->second.expires) {
            erase(it);
        }
        it = next;
    }
}

std::vector<Notice> NoticeTable::all(Common::Time now) const
{
    std::vector<Notice> notices;
    for (const auto &[key, entry] : entries_) {
        const auto remaining =
            std::chrono::duration_cast<Common::milliseconds>(entry.expires - now);
        if (remaining >= MinLifetime) {
            notices.push_back(entry.notice);
            notices.back().lifetime = remaining;
        }
    }
    return notices;
}

std::vector<Notice> NoticeTable::sample(std::size_t maxBytes, std::mt19937_64 &random,
                                        Common::Time now) const
{
    std::vector<Notice> notices = all(now);
    std::shuffle(notices.begin(), notices.end(), random);
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (count < notices.size() && bytes + encodedSize(notices[count]) <= maxBytes) {
        bytes += encodedSize(notices[count]);
        ++count;
    }
    notices.resize(count);
    return notices;
}

const Notice *NoticeTable::find(NoticeKind kind, const std::string &subject) const
{
    const auto it = entries_.find({kind, subject});
    return it == entries_.end() ? nullptr : &it->second.notice;
}

std::uint64_t NoticeTable::hashOf(const Notice &notice)
{
    const auto seed = notice.version * 4 + static_cast<std::uint64_t>(notice.kind);
    return Common::stableHash(notice.subject, seed);
}

void NoticeTable::erase(std::map<Key, Entry>::iterator it)
{
    hash_ ^= hashOf(it->second.notice);
    entries_.erase(it);
}

void NoticeTable::evictIfFull()
{
    if (entries_.size() < maxNotices_) {
        return;
    }
    const auto earliest =
        std::min_element(entries_.begin(), entries_.end(), [](const auto &a, const auto &b) {
            return a.second.expires < b.second.expires;
        });
    erase(earliest);
}

} // namespace LaburnumChute::Cluster

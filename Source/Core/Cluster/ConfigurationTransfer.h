#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "Cluster/ConfigurationStore.h"
#include "Cluster/Messages.h"
#include "Cluster/Options.h"

namespace LaburnumChute::Cluster {

/// Largest content of a version: what the platform's service holds at most, with room to spare.
inline constexpr std::size_t MaxContentBytes = 4u << 20;
/// Content of one chunk; with the headers it fits a datagram.
inline constexpr std::size_t ChunkBytes = 1000;

/// Fetches a version from a peer that said to hold it. The receiver asks for a window of chunks and
/// asks again for what did not come, so that the holder keeps no state. One version is fetched at a
/// time; several holders are tried in turn.
class ConfigurationFetch
{
public:
    explicit ConfigurationFetch(const ClusterOptions &options);

    struct Request
    {
        Address to;
        ConfigurationRequest request;
    };

    /// A peer holds a version that is wanted.
    std::optional<Request> onAnnouncement(const Address &holder, const ConfigurationDigest &digest,
                                          const ConfigurationStore &store, Common::Time now);
    /// A part arrived. When the version is whole, it is in complete().
    std::optional<Request> receive(const Address &from, const ConfigurationChunk &chunk,
                                   const ConfigurationStore &store, Common::Time now);
    /// Asks again for what did not come in time.
    std::optional<Request> tick(const ConfigurationStore &store, Common::Time now);
    void postpone(Common::Duration gap);

    /// The version fetched, once.
    std::optional<ConfigurationVersion> takeComplete();
    bool active() const
    {
        return fetch_.has_value();
    }
    /// Transfers that gave another content than announced.
    std::uint64_t hashMismatches() const
    {
        return hashMismatches_;
    }

private:
    struct Fetch
    {
        ConfigurationDigest wanted;
        std::vector<Address> holders;
        std::size_t holder = 0;
        ConfigurationDigest base;
        std::uint32_t transferSize = 0;
        std::string bytes;
        std::vector<bool> received;
        std::size_t firstMissing = 0;
        std::size_t windowEnd = 0;
        int failures = 0;
        bool fullOnly = false;
        Common::Time deadline;
    };

    void startTransfer(const ConfigurationChunk &chunk);
    bool windowComplete() const;
    void assemble(const ConfigurationStore &store);
    Request nextRequest(const ConfigurationStore &store, Common::Time now);

    ClusterOptions options_;
    std::optional<Fetch> fetch_;
    std::optional<ConfigurationVersion> complete_;
    std::uint64_t hashMismatches_ = 0;
};

/// Answers requests for parts of versions. Deltas are kept for the next request, since all members
/// of a region ask for the same one.
class ConfigurationSource
{
public:
    std::vector<ConfigurationChunk> makeChunks(const ConfigurationRequest &request,
                                               const ConfigurationStore &store);

private:
    struct Transfer
    {
        ConfigurationDigest version;
        ConfigurationDigest base;
        /// Empty: a delta does not pay.
        std::string bytes;
    };

    const Transfer *findOrMakeDelta(const ConfigurationRequest &request,
                                    const ConfigurationStore &store);

    std::deque<Transfer> deltas_;
};

} // namespace LaburnumChute::Cluster

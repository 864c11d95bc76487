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

/// Maximum content size of a version: the limit of the platform's service plus a margin.
inline constexpr std::size_t MaxContentBytes = 4u << 20;
/// Content bytes per chunk; with the headers it fits into a datagram.
inline constexpr std::size_t ChunkBytes = 1000;

/// Fetches a version from a peer that announced it. The receiver requests a window of chunks and
/// requests missing ones again, so that the holder is stateless. One version is fetched at a time;
/// several holders are tried in turn.
class ConfigurationFetch
{
public:
    explicit ConfigurationFetch(const ClusterOptions &options);

    struct Request
    {
        Address to;
        ConfigurationRequest request;
    };

    /// Handles a peer's announcement; starts a fetch if its version is needed.
    std::optional<Request> onAnnouncement(const Address &holder, const ConfigurationDigest &digest,
                                          const ConfigurationStore &store, Common::Time now);
    /// Handles a chunk. A complete version is available from takeComplete().
    std::optional<Request> receive(const Address &from, const ConfigurationChunk &chunk,
                                   const ConfigurationStore &store, Common::Time now);
    /// Requests chunks again that did not arrive in time.
    std::optional<Request> tick(const ConfigurationStore &store, Common::Time now);
    void postpone(Common::Duration gap);

    /// Returns a fetched version once.
    std::optional<ConfigurationVersion> takeComplete();
    bool active() const
    {
        return fetch_.has_value();
    }
    /// Transfers whose content did not match the announced hash.
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

/// Answers requests for ranges of versions. Deltas are cached, since all members of a region
/// request the same one.
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
        /// Empty if a delta is not worthwhile.
        std::string bytes;
    };

    const Transfer *findOrMakeDelta(const ConfigurationRequest &request,
                                    const ConfigurationStore &store);

    std::deque<Transfer> deltas_;
};

} // namespace LaburnumChute::Cluster

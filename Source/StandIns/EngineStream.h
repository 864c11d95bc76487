#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "StandIns/HttpServer.h"

namespace LaburnumChute::StandIns {

/// Where the generation of a stream stands.
enum class StreamEnd { None, Finished, Cancelled, Crashed };

/// One request on an engine, from its submission until it is forgotten. The tokens themselves are
/// not kept: they follow from the seed.
struct EngineStream
{
    EngineStream(const asio::any_io_executor &executor, std::string requestId);

    std::uint64_t sequence = 0;
    std::string requestId;
    std::string model;
    std::string engineId;
    bool chat = true;
    bool includeUsage = false;
    std::uint64_t seed = 0;
    std::size_t promptTokens = 0;
    std::size_t maxTokens = 0;
    std::size_t generated = 0;
    std::uint64_t createdAt = 0;
    StreamEnd end = StreamEnd::None;
    Common::Time endedAt;
    std::size_t record = 0;
    /// Counts the connections that have read this stream; the newest one is the reader.
    std::uint64_t reader = 0;
    bool readerGone = false;
    std::weak_ptr<HttpConnection> connection;
    Signal changed;
};

using StreamPointer = std::shared_ptr<EngineStream>;

/// The server-sent events from the one after the given count up to the last generated one.
std::string streamEvents(const EngineStream &stream, std::size_t after);
/// What closes a finished stream: usage if asked for, then [DONE].
std::string streamClosing(const EngineStream &stream);
/// The answer of a request that does not stream.
std::string wholeAnswer(const EngineStream &stream);

} // namespace LaburnumChute::StandIns

#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "StandIns/HttpServer.h"

namespace LaburnumChute::StandIns {

/// What goes wrong in an endpoint, set on the control port while it runs.
struct Faults
{
    /// Accepts connections and answers nothing; work stands still.
    bool hang = false;
    /// Work takes this many times as long.
    double slowFactor = 1;
    /// Refuses all work, saying that it was not started.
    bool refuseNotStarted = false;
    /// Resets a connection when a second request arrives on it, as a server does whose idle timeout
    /// falls together with the client's write.
    bool closeReusedIdle = false;
    /// The next so many requests run to their end, then the connection is reset without an answer.
    int dropAnswers = 0;
    /// A request whose prompt holds this text crashes the endpoint; empty for none.
    std::string poison;
    /// Time from a crash until it listens again; zero or less for never.
    Common::milliseconds restartAfter{1000};
    /// A crash ends the whole process.
    bool exitOnCrash = false;

    /// Changes the members that the object names.
    void merge(const nlohmann::json &changes);
    nlohmann::json toJson() const;
};

/// Applies the faults that strike before a request is looked at. False when the connection was
/// reset and the request must be dropped.
asio::awaitable<bool> passFaults(asio::io_context &context, const Faults &faults,
                                 ConnectionPointer connection);

/// True once for each answer that is to be dropped.
bool takeDroppedAnswer(Faults &faults);

} // namespace LaburnumChute::StandIns

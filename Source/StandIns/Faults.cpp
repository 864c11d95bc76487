#include "StandIns/Faults.h"

namespace LaburnumChute::StandIns {

namespace {
constexpr Common::milliseconds HangPoll{10};
} // namespace

void Faults::merge(const nlohmann::json &changes)
{
    hang = changes.value("hang", hang);
    slowFactor = changes.value("slow_factor", slowFactor);
    refuseNotStarted = changes.value("refuse_not_started", refuseNotStarted);
    closeReusedIdle = changes.value("close_reused_idle", closeReusedIdle);
    dropAnswers = changes.value("drop_answers", dropAnswers);
    poison = changes.value("poison", poison);
    restartAfter = Common::milliseconds(changes.value("restart_ms", restartAfter.count()));
    exitOnCrash = changes.value("exit_on_crash", exitOnCrash);
}

nlohmann::json Faults::toJson() const
{
    return {{"hang", hang},
            {"slow_factor", slowFactor},
            {"refuse_not_started", refuseNotStarted},
            {"close_reused_idle", closeReusedIdle},
            {"drop_answers", dropAnswers},
            {"poison", poison},
            {"restart_ms", restartAfter.count()},
            {"exit_on_crash", exitOnCrash}};
}

asio::awaitable<bool> passFaults(asio::io_context &context, const Faults &faults,
                                 ConnectionPointer connection)
{
    if (faults.closeReusedIdle && connection->served() > 0) {
        connection->abort();
        co_return false;
    }
    while (faults.hang) {
        co_await sleepFor(context, HangPoll);
    }
    co_return connection->isOpen();
}

bool takeDroppedAnswer(Faults &faults)
{
    if (faults.dropAnswers <= 0) {
        return false;
    }
    --faults.dropAnswers;
    return true;
}

} // namespace LaburnumChute::StandIns

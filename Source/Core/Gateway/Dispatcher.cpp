#include "Gateway/Dispatcher.h"

#include <boost/asio/post.hpp>

namespace LaburnumChute::Gateway {

namespace {

namespace D = LaburnumChute::Decisions;

/// The scheduler's clockwork runs at least this often, so that limits and budgets move on.
constexpr Common::milliseconds LongestTick{50};
/// Ids of callers that supersession and traces still find.
constexpr std::size_t RememberedIds = 4096;

const Common::RequestId &requestOf(const D::Effect &effect)
{
    return std::visit(
        [](const auto &decided) -> const Common::RequestId & { return decided.request; }, effect);
}

Common::Counter &decisionCounter(Common::MetricsRegistry &metrics, const char *decision)
{
    return metrics.counter("laburnumchute_decisions_total", "Decisions on requests",
                           {{"decision", decision}});
}

} // namespace

Dispatcher::Ticket::~Ticket()
{
    asio::post(dispatcher_->control_,
               [dispatcher = dispatcher_, request = request_] { dispatcher->forget(request); });
}

void Dispatcher::Ticket::firstToken(const Common::EndpointId &endpoint) const
{
    dispatcher_->command([request = request_, endpoint](Scheduler &scheduler, Common::Time now) {
        return scheduler.firstToken(request, endpoint, now);
    });
}

void Dispatcher::Ticket::progress(const Common::EndpointId &endpoint, std::int64_t tokens) const
{
    dispatcher_->command(
        [request = request_, endpoint, tokens](Scheduler &scheduler, Common::Time now) {
            return scheduler.progress(request, endpoint, tokens, now);
        });
}

void Dispatcher::Ticket::finished(const Common::EndpointId &endpoint, D::Outcome outcome) const
{
    dispatcher_->command(
        [request = request_, endpoint, outcome](Scheduler &scheduler, Common::Time now) {
            return scheduler.finished(request, endpoint, outcome, now);
        });
}

void Dispatcher::Ticket::cancel() const
{
    dispatcher_->command([request = request_](Scheduler &scheduler, Common::Time now) {
        return scheduler.cancel(request, now);
    });
}

Dispatcher::Dispatcher(asio::io_context &control, Scheduler scheduler,
                       Common::MetricsRegistry &metrics)
    : control_(control)
    , scheduler_(std::move(scheduler))
    , tickTimer_(control)
    , dispatched_(decisionCounter(metrics, "dispatch"))
    , forwarded_(decisionCounter(metrics, "forward"))
    , refused_(decisionCounter(metrics, "refuse"))
    , dropped_(decisionCounter(metrics, "drop"))
{
    asio::post(control_, [this] { scheduleTick(); });
}

std::unique_ptr<Dispatcher::Ticket> Dispatcher::submit(Submission submission,
                                                       const Decisions &decisions,
                                                       asio::any_io_executor executor,
                                                       std::function<void()> abort)
{
    auto ticket = std::make_unique<Ticket>(*this, submission.facts.id);
    asio::post(control_, [this, submission = std::move(submission), decisions,
                          executor = std::move(executor), abort = std::move(abort)]() mutable {
        remember(submission);
        auto &facts = submission.facts;
        if (facts.supersedes) {
            const auto callerId = *facts.supersedes;
            facts.supersedes = ownId(facts.customer, callerId);
            if (!facts.supersedes && foreignSupersede_) {
                foreignSupersede_(facts.customer, callerId);
            }
        }
        waiting_.insert_or_assign(facts.id,
                                  Waiting{decisions, std::move(executor), std::move(abort)});
        const auto superseded = facts.supersedes;
        carryOut(scheduler_.submit(std::move(facts), std::chrono::steady_clock::now()));
        if (superseded) {
            withdraw(*superseded);
        }
    });
    return ticket;
}

void Dispatcher::remember(const Submission &submission)
{
    const Known known{submission.facts.customer, submission.facts.id};
    if (byCallerId_.insert_or_assign(submission.callerId, known).second) {
        callerIds_.push_back(submission.callerId);
    }
    if (callerIds_.size() > RememberedIds) {
        byCallerId_.erase(callerIds_.front());
        callerIds_.pop_front();
    }
}

std::optional<Common::RequestId> Dispatcher::ownId(const Common::CustomerName &customer,
                                                   const Common::RequestId &callerId) const
{
    const auto known = byCallerId_.find(callerId);
    if (known == byCallerId_.end() || known->second.customer != customer) {
        return std::nullopt;
    }
    return known->second.own;
}

void Dispatcher::onForeignSupersede(SupersedeListener listener)
{
    foreignSupersede_ = std::move(listener);
}

void Dispatcher::supersede(Common::CustomerName customer, Common::RequestId callerId)
{
    asio::post(control_, [this, customer = std::move(customer), callerId = std::move(callerId)] {
        const auto own = ownId(customer, callerId);
        if (own) {
            carryOut(scheduler_.cancel(*own, std::chrono::steady_clock::now()));
            withdraw(*own);
        }
    });
}

std::vector<std::string> Dispatcher::explain(const Common::RequestId &callerId) const
{
    const auto known = byCallerId_.find(callerId);
    return scheduler_.explain(known == byCallerId_.end() ? callerId : known->second.own);
}

std::vector<Common::RequestId> Dispatcher::inFlight() const
{
    std::vector<Common::RequestId> ids;
    for (const auto &entry : waiting_) {
        ids.push_back(entry.first);
    }
    return ids;
}

void Dispatcher::forget(const Common::RequestId &request)
{
    waiting_.erase(request);
    carryOut(scheduler_.cancel(request, std::chrono::steady_clock::now()));
}

void Dispatcher::withdraw(const Common::RequestId &request)
{
    // The scheduler forgets a superseded request. Its runner may be waiting for another region at
    // that moment, and after that for a decision that would never come: the caller, who may have
    // kept its connection open, would wait for ever.
    const auto found = waiting_.find(request);
    if (found != waiting_.end()) {
        asio::post(found->second.executor, found->second.abort);
    }
}

void Dispatcher::carryOut(const Effects &effects)
{
    for (const auto &effect : effects) {
        count(effect);
        carryOut(effect);
    }
    scheduleTick();
}

void Dispatcher::carryOut(const D::Effect &effect)
{
    const auto found = waiting_.find(requestOf(effect));
    if (found == waiting_.end()) {
        return;
    }
    if (std::holds_alternative<D::CancelOnEndpoint>(effect)) {
        asio::post(found->second.executor, found->second.abort);
        return;
    }
    found->second.decisions.push(effect);
}

void Dispatcher::count(const D::Effect &effect)
{
    dispatched_.add(std::holds_alternative<D::Dispatch>(effect) ? 1 : 0);
    forwarded_.add(std::holds_alternative<D::Forward>(effect) ? 1 : 0);
    refused_.add(std::holds_alternative<D::Reject>(effect) ? 1 : 0);
    dropped_.add(std::holds_alternative<D::Drop>(effect) ? 1 : 0);
}

void Dispatcher::scheduleTick()
{
    const auto now = std::chrono::steady_clock::now();
    const auto latest = now + LongestTick;
    const auto wanted = scheduler_.nextWakeup().value_or(latest);
    tickTimer_.expires_at(std::min(latest, std::max(wanted, now)));
    tickTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            carryOut(scheduler_.tick(std::chrono::steady_clock::now()));
        }
    });
}

} // namespace LaburnumChute::Gateway

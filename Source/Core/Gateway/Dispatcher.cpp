#include "Gateway/Dispatcher.h"

#include <boost/asio/post.hpp>

namespace LaburnumChute::Gateway {

namespace {

namespace D = LaburnumChute::Decisions;

/// The scheduler ticks at least this often, so that limits and budgets are brought up to date.
constexpr Common::milliseconds LongestTickInterval{50};
/// Number of caller ids that are kept for supersession and traces.
constexpr std::size_t RememberedCallerIds = 4096;

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

Dispatcher::Registration::~Registration()
{
    asio::post(dispatcher_->control_,
               [dispatcher = dispatcher_, request = request_] { dispatcher->unregister(request); });
}

void Dispatcher::Registration::firstToken(const Common::EndpointId &endpoint) const
{
    dispatcher_->command([request = request_, endpoint](Scheduler &scheduler, Common::Time now) {
        return scheduler.firstToken(request, endpoint, now);
    });
}

void Dispatcher::Registration::progress(const Common::EndpointId &endpoint,
                                        std::int64_t tokens) const
{
    dispatcher_->command(
        [request = request_, endpoint, tokens](Scheduler &scheduler, Common::Time now) {
            return scheduler.progress(request, endpoint, tokens, now);
        });
}

void Dispatcher::Registration::finished(const Common::EndpointId &endpoint,
                                        D::Outcome outcome) const
{
    dispatcher_->command(
        [request = request_, endpoint, outcome](Scheduler &scheduler, Common::Time now) {
            return scheduler.finished(request, endpoint, outcome, now);
        });
}

void Dispatcher::Registration::cancel() const
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
    , rejected_(decisionCounter(metrics, "refuse"))
    , dropped_(decisionCounter(metrics, "drop"))
{
    asio::post(control_, [this] { scheduleTick(); });
}

std::unique_ptr<Dispatcher::Registration> Dispatcher::submit(Submission submission,
                                                             const DecisionQueue &decisions,
                                                             asio::any_io_executor executor,
                                                             std::function<void()> abort)
{
    auto registration = std::make_unique<Registration>(*this, submission.facts.id);
    asio::post(control_, [this, submission = std::move(submission), decisions,
                          executor = std::move(executor), abort = std::move(abort)]() mutable {
        rememberCallerId(submission);
        auto &facts = submission.facts;
        if (facts.supersedes) {
            const auto callerId = *facts.supersedes;
            facts.supersedes = findInternalId(facts.customer, callerId);
            if (!facts.supersedes && remoteSupersede_) {
                remoteSupersede_(facts.customer, callerId);
            }
        }
        registered_.insert_or_assign(
            facts.id, RegisteredRequest{decisions, std::move(executor), std::move(abort)});
        const auto superseded = facts.supersedes;
        execute(scheduler_.submit(std::move(facts), std::chrono::steady_clock::now()));
        if (superseded) {
            withdraw(*superseded);
        }
    });
    return registration;
}

void Dispatcher::rememberCallerId(const Submission &submission)
{
    const KnownRequest known{submission.facts.customer, submission.facts.id};
    if (byCallerId_.insert_or_assign(submission.callerId, known).second) {
        callerIds_.push_back(submission.callerId);
    }
    if (callerIds_.size() > RememberedCallerIds) {
        byCallerId_.erase(callerIds_.front());
        callerIds_.pop_front();
    }
}

std::optional<Common::RequestId> Dispatcher::findInternalId(const Common::CustomerName &customer,
                                                            const Common::RequestId &callerId) const
{
    const auto known = byCallerId_.find(callerId);
    if (known == byCallerId_.end() || known->second.customer != customer) {
        return std::nullopt;
    }
    return known->second.internalId;
}

void Dispatcher::onRemoteSupersede(SupersedeListener listener)
{
    remoteSupersede_ = std::move(listener);
}

void Dispatcher::supersede(Common::CustomerName customer, Common::RequestId callerId)
{
    asio::post(control_, [this, customer = std::move(customer), callerId = std::move(callerId)] {
        const auto internalId = findInternalId(customer, callerId);
        if (internalId) {
            execute(scheduler_.cancel(*internalId, std::chrono::steady_clock::now()));
            withdraw(*internalId);
        }
    });
}

std::vector<std::string> Dispatcher::explain(const Common::RequestId &callerId) const
{
    const auto known = byCallerId_.find(callerId);
    return scheduler_.explain(known == byCallerId_.end() ? callerId : known->second.internalId);
}

std::vector<Common::RequestId> Dispatcher::inFlight() const
{
    std::vector<Common::RequestId> ids;
    for (const auto &entry : registered_) {
        ids.push_back(entry.first);
    }
    return ids;
}

void Dispatcher::unregister(const Common::RequestId &request)
{
    registered_.erase(request);
    execute(scheduler_.cancel(request, std::chrono::steady_clock::now()));
}

void Dispatcher::withdraw(const Common::RequestId &request)
{
    // The scheduler removes a superseded request. Its runner may be waiting for another region at
    // that moment and would then wait for a decision that never comes, so a caller that kept its
    // connection open would wait forever.
    const auto found = registered_.find(request);
    if (found != registered_.end()) {
        asio::post(found->second.executor, found->second.abort);
    }
}

void Dispatcher::execute(const Effects &effects)
{
    for (const auto &effect : effects) {
        countDecision(effect);
        execute(effect);
    }
    scheduleTick();
}

void Dispatcher::execute(const D::Effect &effect)
{
    const auto found = registered_.find(requestOf(effect));
    if (found == registered_.end()) {
        return;
    }
    if (std::holds_alternative<D::CancelOnEndpoint>(effect)) {
        asio::post(found->second.executor, found->second.abort);
        return;
    }
    found->second.decisions.push(effect);
}

void Dispatcher::countDecision(const D::Effect &effect)
{
    dispatched_.add(std::holds_alternative<D::Dispatch>(effect) ? 1 : 0);
    forwarded_.add(std::holds_alternative<D::Forward>(effect) ? 1 : 0);
    rejected_.add(std::holds_alternative<D::Reject>(effect) ? 1 : 0);
    dropped_.add(std::holds_alternative<D::Drop>(effect) ? 1 : 0);
}

void Dispatcher::scheduleTick()
{
    const auto now = std::chrono::steady_clock::now();
    const auto latest = now + LongestTickInterval;
    const auto wanted = scheduler_.nextWakeup().value_or(latest);
    tickTimer_.expires_at(std::min(latest, std::max(wanted, now)));
    tickTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            execute(scheduler_.tick(std::chrono::steady_clock::now()));
        }
    });
}

} // namespace LaburnumChute::Gateway

#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Async/Async.h"
#include "Common/Common.h"
#include "Decisions/Decisions.h"

namespace LaburnumChute::Gateway {

namespace asio = boost::asio;

/// The place where the threads of requests meet the one scheduler of the instance. Calls may come
/// from any thread; the scheduler runs on the control context, and what it decides goes to the
/// mailbox of the request concerned.
class Dispatcher
{
public:
    using Decisions = Async::AsyncQueue<LaburnumChute::Decisions::Effect>;
    using Scheduler = LaburnumChute::Decisions::Scheduler;
    using Effects = LaburnumChute::Decisions::Effects;

    Dispatcher(asio::io_context &control, Scheduler scheduler, Common::MetricsRegistry &metrics);

    /// One request's registration. Its end makes the scheduler forget the request.
    class Ticket
    {
    public:
        Ticket(Dispatcher &dispatcher, Common::RequestId request)
            : dispatcher_(&dispatcher)
            , request_(std::move(request))
        {
        }
        ~Ticket();
        Ticket(const Ticket &) = delete;
        Ticket &operator=(const Ticket &) = delete;

        void firstToken(const Common::EndpointId &endpoint) const;
        void progress(const Common::EndpointId &endpoint, std::int64_t tokens) const;
        void finished(const Common::EndpointId &endpoint,
                      LaburnumChute::Decisions::Outcome outcome) const;
        /// The caller has left.
        void cancel() const;

    private:
        Dispatcher *dispatcher_;
        Common::RequestId request_;
    };

    /// What is submitted, under the id that the system gave it and the one that its caller knows.
    struct Submission
    {
        LaburnumChute::Decisions::RequestFacts facts;
        Common::RequestId callerId;
    };

    /// Hands in a request. `abort` is called, on the mailbox's executor, when the scheduler wants
    /// the request off its endpoint.
    std::unique_ptr<Ticket> submit(Submission submission, const Decisions &decisions,
                                   asio::any_io_executor executor, std::function<void()> abort);

    /// Told when a request supersedes one that is not known here: another instance may have it.
    using SupersedeListener =
        std::function<void(const Common::CustomerName &, const Common::RequestId &callerId)>;
    void onForeignSupersede(SupersedeListener listener);
    /// Drops the customer's request of that id, if it is here; from any thread.
    void supersede(Common::CustomerName customer, Common::RequestId callerId);

    /// Runs a command of the scheduler on the control context and carries out what it returns.
    /// The function takes (Scheduler &, Time) and returns Effects.
    template <typename Function>
    void command(Function function)
    {
        asio::post(control_, [this, function = std::move(function)]() mutable {
            carryOut(function(scheduler_, std::chrono::steady_clock::now()));
        });
    }

    /// The last decisions on a request, by the id that its caller knows; only from the control
    /// context, like all below.
    std::vector<std::string> explain(const Common::RequestId &callerId) const;
    /// The requests handed in and not yet ended, by their own ids.
    std::vector<Common::RequestId> inFlight() const;
    const Scheduler &scheduler() const
    {
        return scheduler_;
    }
    Scheduler &scheduler()
    {
        return scheduler_;
    }

private:
    struct Waiting
    {
        Decisions decisions;
        asio::any_io_executor executor;
        std::function<void()> abort;
    };

    void carryOut(const Effects &effects);
    void carryOut(const LaburnumChute::Decisions::Effect &effect);
    void count(const LaburnumChute::Decisions::Effect &effect);
    void scheduleTick();
    void forget(const Common::RequestId &request);
    void remember(const Submission &submission);

    asio::io_context &control_;
    Scheduler scheduler_;
    asio::steady_timer tickTimer_;
    std::unordered_map<Common::RequestId, Waiting> waiting_;
    struct Known
    {
        Common::CustomerName customer;
        Common::RequestId own;
    };

    /// The own id of the customer's request, if it is known here.
    std::optional<Common::RequestId> ownId(const Common::CustomerName &customer,
                                           const Common::RequestId &callerId) const;

    SupersedeListener foreignSupersede_;
    /// The newest request under each id that callers know, for traces and supersession.
    std::unordered_map<Common::RequestId, Known> byCallerId_;
    std::deque<Common::RequestId> callerIds_;
    Common::Counter &dispatched_;
    Common::Counter &forwarded_;
    Common::Counter &refused_;
    Common::Counter &dropped_;
};

} // namespace LaburnumChute::Gateway

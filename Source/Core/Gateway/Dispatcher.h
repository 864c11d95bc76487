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

/// Thread-safe access to the instance's scheduler. Functions may be called from any thread unless
/// noted otherwise; the scheduler runs on the control context, and its decisions are pushed to the
/// decision queue of the request concerned.
class Dispatcher
{
public:
    using DecisionQueue = Async::AsyncQueue<LaburnumChute::Decisions::Effect>;
    using Scheduler = LaburnumChute::Decisions::Scheduler;
    using Effects = LaburnumChute::Decisions::Effects;

    Dispatcher(asio::io_context &control, Scheduler scheduler, Common::MetricsRegistry &metrics);

    /// Registration of a request. Its destructor removes the request from the scheduler.
    class Registration
    {
    public:
        Registration(Dispatcher &dispatcher, Common::RequestId request)
            : dispatcher_(&dispatcher)
            , request_(std::move(request))
        {
        }
        ~Registration();
        Registration(const Registration &) = delete;
        Registration &operator=(const Registration &) = delete;

        void firstToken(const Common::EndpointId &endpoint) const;
        void progress(const Common::EndpointId &endpoint, std::int64_t tokens) const;
        void finished(const Common::EndpointId &endpoint,
                      LaburnumChute::Decisions::Outcome outcome) const;
        /// Called when the caller has disconnected.
        void cancel() const;

    private:
        Dispatcher *dispatcher_;
        Common::RequestId request_;
    };

    /// A request, with its internal id in `facts` and the id that its caller knows.
    struct Submission
    {
        LaburnumChute::Decisions::RequestFacts facts;
        Common::RequestId callerId;
    };

    /// Submits a request to the scheduler. `abort` is called on `executor` when the scheduler
    /// cancels the attempt at an endpoint or the request is withdrawn.
    std::unique_ptr<Registration> submit(Submission submission, const DecisionQueue &decisions,
                                         asio::any_io_executor executor,
                                         std::function<void()> abort);

    /// Called when a request supersedes one that is unknown here: another instance may have it.
    using SupersedeListener =
        std::function<void(const Common::CustomerName &, const Common::RequestId &callerId)>;
    void onRemoteSupersede(SupersedeListener listener);
    /// Cancels the customer's request with that id, if this instance has it.
    void supersede(Common::CustomerName customer, Common::RequestId callerId);

    /// Runs the function on the control context and executes the effects that it returns.
    /// The function takes (Scheduler &, Time) and returns Effects.
    template <typename Function>
    void command(Function function)
    {
        asio::post(control_, [this, function = std::move(function)]() mutable {
            execute(function(scheduler_, std::chrono::steady_clock::now()));
        });
    }

    /// The last decisions on a request, by the id that its caller knows. This function and all
    /// below may only be called from the control context.
    std::vector<std::string> explain(const Common::RequestId &callerId) const;
    /// Internal ids of the requests that were submitted and have not ended.
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
    struct RegisteredRequest
    {
        DecisionQueue decisions;
        asio::any_io_executor executor;
        std::function<void()> abort;
    };

    void execute(const Effects &effects);
    void execute(const LaburnumChute::Decisions::Effect &effect);
    void countDecision(const LaburnumChute::Decisions::Effect &effect);
    void withdraw(const Common::RequestId &request);
    void scheduleTick();
    void unregister(const Common::RequestId &request);
    void rememberCallerId(const Submission &submission);

    asio::io_context &control_;
    Scheduler scheduler_;
    asio::steady_timer tickTimer_;
    std::unordered_map<Common::RequestId, RegisteredRequest> registered_;
    struct KnownRequest
    {
        Common::CustomerName customer;
        Common::RequestId internalId;
    };

    /// The internal id of the customer's request, if it is known here.
    std::optional<Common::RequestId> findInternalId(const Common::CustomerName &customer,
                                                    const Common::RequestId &callerId) const;

    SupersedeListener remoteSupersede_;
    /// The newest request under each caller id, for traces and supersession.
    std::unordered_map<Common::RequestId, KnownRequest> byCallerId_;
    std::deque<Common::RequestId> callerIds_;
    Common::Counter &dispatched_;
    Common::Counter &forwarded_;
    Common::Counter &rejected_;
    Common::Counter &dropped_;
};

} // namespace LaburnumChute::Gateway

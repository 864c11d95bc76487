#include "Relay/SimpleFetch.h"

#include "Relay/HttpText.h"

namespace LaburnumChute::Relay {

namespace {

constexpr Common::milliseconds KeepIdle{5000};

} // namespace

SimpleFetch::SimpleFetch(std::shared_ptr<OutboundPool> pool)
    : pool_(std::move(pool))
{
}

SimpleFetch::~SimpleFetch()
{
    for (auto &[id, running] : running_) {
        running.call->cancel();
    }
}

void SimpleFetch::get(const std::string &address, const std::string &target,
                      Common::milliseconds timeout, Done done, Common::Time now)
{
    const auto id = nextId_++;
    OutboundRequest request;
    request.address = address;
    request.head = requestHead("GET", target, {{"Host", address}});
    request.body = std::make_shared<const std::string>();
    request.maxIdle = KeepIdle;
    CallEvents events;
    events.head = [this, id](const AnswerHead &head) {
        running_.at(id).status = head.status;
        return true;
    };
    events.body = [this, id](const std::string &bytes) { running_.at(id).body += bytes; };
    events.end = [this, id] {
        auto &running = running_.at(id);
        finish(id, running.status, std::move(running.body));
    };
    events.failed = [this, id](CallFailure, const std::string &reason) { finish(id, 0, reason); };
    auto &running = running_[id];
    running.giveUpAt = now + timeout;
    running.done = std::move(done);
    running.call = std::make_shared<OutboundCall>(pool_, std::move(request), std::move(events));
    running.call->start(now);
}

void SimpleFetch::finish(std::uint64_t id, unsigned status, std::string body)
{
    const auto found = running_.find(id);
    const auto call = found->second.call;
    const auto done = std::move(found->second.done);
    running_.erase(found);
    call->cancel();
    done(status, std::move(body));
}

void SimpleFetch::tick(Common::Time now)
{
    std::vector<std::shared_ptr<OutboundCall>> calls;
    std::vector<std::uint64_t> late;
    for (const auto &[id, running] : running_) {
        calls.push_back(running.call);
        if (now >= running.giveUpAt) {
            late.push_back(id);
        }
    }
    for (const auto &call : calls) {
        call->tick(now);
    }
    for (const auto id : late) {
        if (running_.count(id) > 0) {
            finish(id, 0, "no answer in time");
        }
    }
}

} // namespace LaburnumChute::Relay

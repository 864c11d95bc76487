#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Relay/OutboundCall.h"

namespace LaburnumChute::Relay {

/// Runs GET calls concurrently and returns their complete responses.
class SimpleFetch
{
public:
    /// Status 0 means that there was no response; the body then contains the reason.
    using CompletionHandler = std::function<void(unsigned status, std::string body)>;

    explicit SimpleFetch(std::shared_ptr<OutboundPool> pool);
    ~SimpleFetch();

    /// @param maxBodyBytes larger responses are taken for no response
    void get(const std::string &address, const std::string &target, Common::milliseconds timeout,
             std::uint64_t maxBodyBytes, CompletionHandler onComplete, Common::Time now);
    void tick(Common::Time now);

private:
    struct PendingCall
    {
        std::shared_ptr<OutboundCall> call;
        Common::Time deadline{};
        unsigned status = 0;
        std::string body;
        CompletionHandler onComplete;
    };

    void finish(std::uint64_t id, unsigned status, std::string body);

    std::shared_ptr<OutboundPool> pool_;
    std::map<std::uint64_t, PendingCall> calls_;
    std::uint64_t nextId_ = 0;
};

} // namespace LaburnumChute::Relay

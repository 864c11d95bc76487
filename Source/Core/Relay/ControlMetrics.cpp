#include "Relay/ControlMetrics.h"

namespace LaburnumChute::Relay {

namespace {

struct PurposeName
{
    std::string operator()(const Fleet::Heartbeat &) const
    {
        return "heartbeat";
    }
    std::string operator()(const Dispatch::PromptNotices &) const
    {
        return "prompt_notice";
    }
    std::string operator()(const UsageNotice &) const
    {
        return "usage_notice";
    }
    std::string operator()(const Fleet::RegionDigest &) const
    {
        return "region_digest";
    }
    std::string operator()(const Dispatch::SuspectNotices &) const
    {
        return "suspect_notice";
    }
};

} // namespace

ControlMetrics::ControlMetrics(Common::MetricsRegistry &registry)
    : itemsSent_(makeTraffic(registry, "sent", "items"))
{
    const GossipMessage examples[] = {Fleet::Heartbeat(), Dispatch::PromptNotices(), UsageNotice(),
                                      Fleet::RegionDigest(), Dispatch::SuspectNotices()};
    for (const auto &example : examples) {
        const auto name = std::visit(PurposeName(), example);
        sent_.at(example.index()) = makeTraffic(registry, "sent", name);
        received_.at(example.index()) = makeTraffic(registry, "received", name);
    }
}

ControlMetrics::Traffic ControlMetrics::makeTraffic(Common::MetricsRegistry &registry,
                                                    const std::string &direction,
                                                    const std::string &purpose)
{
    const Common::Labels labels = {{"direction", direction}, {"purpose", purpose}};
    return {&registry.counter("laburnumchute_relay_control_messages_total",
                              "Messages exchanged with other instances for control", labels),
            &registry.counter("laburnumchute_relay_control_bytes_total",
                              "Bytes exchanged with other instances for control", labels)};
}

void ControlMetrics::countSent(const GossipMessage &message, std::size_t bytes,
                               std::size_t receivers)
{
    sent_.at(message.index()).messages->add(receivers);
    sent_.at(message.index()).bytes->add(bytes * receivers);
}

void ControlMetrics::countReceived(const GossipMessage &message, std::size_t bytes)
{
    received_.at(message.index()).messages->add();
    received_.at(message.index()).bytes->add(bytes);
}

void ControlMetrics::countItemsSent(std::size_t bytes)
{
    itemsSent_.messages->add();
    itemsSent_.bytes->add(bytes);
}

} // namespace LaburnumChute::Relay

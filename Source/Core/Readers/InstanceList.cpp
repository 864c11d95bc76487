#include "Readers/InstanceList.h"

#include <optional>
#include <unordered_set>

#include <nlohmann/json.hpp>

namespace LaburnumChute::Readers {

namespace {

using nlohmann::json;

auto invalid(const std::string &where, const std::string &expected)
{
    return Common::makeError(Common::ErrorCode::ProtocolViolation,
                             "the instance list: " + where + ": expected " + expected);
}

/// Reads the members of one entry and remembers the first that is not as expected.
class EntryReader
{
public:
    EntryReader(const json &entry, std::string at)
        : entry_(entry)
        , at_(std::move(at))
    {
        if (!entry_.is_object()) {
            fault_ = Fault{at_, "an object"};
        }
    }

    std::string text(const char *member)
    {
        const auto found = entry_.find(member);
        if (found == entry_.end() || !found->is_string()
            || found->get_ref<const std::string &>().empty()) {
            report(member, "a text that is not empty");
            return {};
        }
        return found->get<std::string>();
    }

    /// Whether the member is the first of two words; it must be one of them.
    bool isFirst(const char *member, std::string_view first, std::string_view second)
    {
        const auto value = text(member);
        if (value != first && value != second) {
            report(member, fmt::format("\"{}\" or \"{}\"", first, second));
        }
        return value == first;
    }

    bool flag(const char *member)
    {
        const auto found = entry_.find(member);
        if (found == entry_.end()) {
            return false;
        }
        if (!found->is_boolean()) {
            report(member, "true or false");
            return false;
        }
        return found->get<bool>();
    }

    void report(const char *member, std::string expected)
    {
        if (!fault_) {
            fault_ = Fault{at_ + "/" + member, std::move(expected)};
        }
    }

    Common::Result<void> outcome() const
    {
        if (fault_) {
            return invalid(fault_->where, fault_->expected);
        }
        return {};
    }

private:
    struct Fault
    {
        std::string where;
        std::string expected;
    };

    const json &entry_;
    std::string at_;
    std::optional<Fault> fault_;
};

ListedInstance readInstance(EntryReader &reader)
{
    ListedInstance instance;
    instance.id = Common::InstanceId(reader.text("id"));
    instance.region = Common::RegionName(reader.text("region"));
    instance.failureDomain = Common::FailureDomainName(reader.text("failure_domain"));
    instance.http = reader.text("http");
    instance.gossip = reader.text("gossip");
    instance.channel = reader.text("channel");
    instance.leaving = reader.isFirst("state", "leaving", "live");
    return instance;
}

ListedEndpoint readEndpoint(EntryReader &reader)
{
    ListedEndpoint endpoint;
    endpoint.id = Common::EndpointId(reader.text("id"));
    endpoint.kind =
        reader.isFirst("kind", "service", "engine") ? EndpointKind::Service : EndpointKind::Engine;
    endpoint.name = reader.text("name");
    endpoint.region = Common::RegionName(reader.text("region"));
    endpoint.failureDomain = Common::FailureDomainName(reader.text("failure_domain"));
    endpoint.http = reader.text("http");
    endpoint.leaving = reader.isFirst("state", "leaving", "live");
    endpoint.checksFences = reader.flag("checks_fences");
    return endpoint;
}

/// Reads one of the two lists; each id may stand in it once.
template <typename Entry>
Common::Result<std::vector<Entry>> readEntries(const json &document, const char *member,
                                               Entry (*read)(EntryReader &))
{
    const auto list = document.find(member);
    if (list == document.end() || !list->is_array()) {
        return invalid(std::string("/") + member, "a list");
    }
    std::vector<Entry> entries;
    entries.reserve(list->size());
    std::unordered_set<std::string> ids;
    for (const auto &value : *list) {
        EntryReader reader(value, fmt::format("/{}/{}", member, entries.size()));
        entries.push_back(read(reader));
        if (!ids.insert(entries.back().id.text()).second) {
            reader.report("id", "each id once");
        }
        if (const auto outcome = reader.outcome(); !outcome) {
            return tl::unexpected(outcome.error());
        }
    }
    return entries;
}

} // namespace

Common::Result<InstanceList> parseInstanceList(std::string_view body)
{
    const auto document = json::parse(body, nullptr, false);
    if (!document.is_object()) {
        return invalid("the document", "a JSON object");
    }
    const auto asOf = document.find("as_of_ms");
    if (asOf == document.end() || !asOf->is_number_unsigned()) {
        return invalid("/as_of_ms", "a whole number of milliseconds");
    }
    auto instances = readEntries(document, "instances", readInstance);
    if (!instances) {
        return tl::unexpected(instances.error());
    }
    auto endpoints = readEntries(document, "endpoints", readEndpoint);
    if (!endpoints) {
        return tl::unexpected(endpoints.error());
    }
    return InstanceList{asOf->get<std::uint64_t>(), std::move(*instances), std::move(*endpoints)};
}

} // namespace LaburnumChute::Readers

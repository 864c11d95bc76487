#include "Readers/InstanceList.h"

#include <optional>
#include <unordered_set>

#include <nlohmann/json.hpp>

namespace LaburnumChute::Readers {

namespace {

using nlohmann::json;

auto invalid(const std::string &path, const std::string &expected)
{
    return Common::makeError(Common::ErrorCode::ProtocolViolation,
                             "the instance list: " + path + ": expected " + expected);
}

/// Reads the members of one entry and records the first invalid one.
class EntryReader
{
public:
    EntryReader(const json &entry, std::string path)
        : entry_(entry)
        , path_(std::move(path))
    {
        if (!entry_.is_object()) {
            invalid_ = InvalidMember{path_, "an object"};
        }
    }

    std::string readString(const char *member)
    {
        const auto found = entry_.find(member);
        if (found == entry_.end() || !found->is_string()
            || found->get_ref<const std::string &>().empty()) {
            reportInvalid(member, "a non-empty string");
            return {};
        }
        return found->get<std::string>();
    }

    /// Reads a member that must equal one of two strings. Returns whether it equals the first.
    bool equalsFirst(const char *member, std::string_view first, std::string_view second)
    {
        const auto value = readString(member);
        if (value != first && value != second) {
            reportInvalid(member, fmt::format("\"{}\" or \"{}\"", first, second));
        }
        return value == first;
    }

    bool readBool(const char *member)
    {
        const auto found = entry_.find(member);
        if (found == entry_.end()) {
            return false;
        }
        if (!found->is_boolean()) {
            reportInvalid(member, "true or false");
            return false;
        }
        return found->get<bool>();
    }

    void reportInvalid(const char *member, std::string expected)
    {
        if (!invalid_) {
            invalid_ = InvalidMember{path_ + "/" + member, std::move(expected)};
        }
    }

    Common::Result<void> result() const
    {
        if (invalid_) {
            return invalid(invalid_->path, invalid_->expected);
        }
        return {};
    }

private:
    struct InvalidMember
    {
        std::string path;
        std::string expected;
    };

    const json &entry_;
    std::string path_;
    std::optional<InvalidMember> invalid_;
};

ListedInstance readInstance(EntryReader &reader)
{
    ListedInstance instance;
    instance.id = Common::InstanceId(reader.readString("id"));
    instance.region = Common::RegionName(reader.readString("region"));
    instance.failureDomain = Common::FailureDomainName(reader.readString("failure_domain"));
    instance.http = reader.readString("http");
    instance.gossip = reader.readString("gossip");
    instance.channel = reader.readString("channel");
    instance.leaving = reader.equalsFirst("state", "leaving", "live");
    return instance;
}

ListedEndpoint readEndpoint(EntryReader &reader)
{
    ListedEndpoint endpoint;
    endpoint.id = Common::EndpointId(reader.readString("id"));
    endpoint.kind = reader.equalsFirst("kind", "service", "engine") ? EndpointKind::Service
                                                                    : EndpointKind::Engine;
    endpoint.name = reader.readString("name");
    endpoint.region = Common::RegionName(reader.readString("region"));
    endpoint.failureDomain = Common::FailureDomainName(reader.readString("failure_domain"));
    endpoint.http = reader.readString("http");
    endpoint.leaving = reader.equalsFirst("state", "leaving", "live");
    endpoint.checksFences = reader.readBool("checks_fences");
    return endpoint;
}

/// Parses one of the two arrays. Ids must be unique within an array.
template <typename Entry>
Common::Result<std::vector<Entry>> readEntries(const json &document, const char *member,
                                               Entry (*read)(EntryReader &))
{
    const auto array = document.find(member);
    if (array == document.end() || !array->is_array()) {
        return invalid(std::string("/") + member, "an array");
    }
    std::vector<Entry> entries;
    entries.reserve(array->size());
    std::unordered_set<std::string> ids;
    for (const auto &value : *array) {
        EntryReader reader(value, fmt::format("/{}/{}", member, entries.size()));
        entries.push_back(read(reader));
        if (!ids.insert(entries.back().id.text()).second) {
            reader.reportInvalid("id", "a unique id");
        }
        if (const auto result = reader.result(); !result) {
            return tl::unexpected(result.error());
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

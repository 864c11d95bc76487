#include "Readers/InstanceList.h"

#include <optional>
#include <unordered_set>

#include "Common/Json.h"
#include "Common/SocketAddress.h"

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

    std::string readAddress(const char *member)
    {
        auto address = readString(member);
        if (!Common::isSocketAddress(address)) {
            reportInvalid(member, "ip:port");
        }
        return address;
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
    endpoint.http = reader.readAddress("http");
    endpoint.leaving = reader.equalsFirst("state", "leaving", "live");
    endpoint.checksFences = reader.readBool("checks_fences");
    return endpoint;
}

/// Reads one entry and records the id. Ids must be unique within an array; of several entries with
/// the same id, the first one counts.
template <typename Entry>
Common::Result<Entry> readEntry(const json &value, std::string path, Entry (*read)(EntryReader &),
                                std::unordered_set<std::string> &ids)
{
    EntryReader reader(value, std::move(path));
    auto entry = read(reader);
    if (ids.count(entry.id.text()) > 0) {
        reader.reportInvalid("id", "a unique id");
    }
    if (const auto result = reader.result(); !result) {
        return tl::unexpected(result.error());
    }
    ids.insert(entry.id.text());
    return entry;
}

Common::Result<std::vector<ListedInstance>> readInstances(const json &document)
{
    const auto array = document.find("instances");
    if (array == document.end() || !array->is_array()) {
        return invalid("/instances", "an array");
    }
    std::vector<ListedInstance> instances;
    std::unordered_set<std::string> ids;
    for (const auto &value : *array) {
        const auto path = fmt::format("/instances/{}", instances.size());
        auto instance = readEntry(value, path, readInstance, ids);
        if (!instance) {
            return tl::unexpected(instance.error());
        }
        instances.push_back(std::move(*instance));
    }
    return instances;
}

void readEndpoints(const std::vector<std::string_view> &elements, InstanceList &list)
{
    std::unordered_set<std::string> ids;
    for (std::size_t index = 0; index < elements.size(); ++index) {
        const auto path = fmt::format("/endpoints/{}", index);
        auto endpoint = readEntry(Common::parseJson(elements[index]), path, readEndpoint, ids);
        if (endpoint) {
            list.endpoints.push_back(std::move(*endpoint));
        } else {
            list.invalidEndpoints.push_back(endpoint.error().message);
        }
    }
}

} // namespace

Common::Result<InstanceList> parseInstanceList(std::string_view body)
{
    const auto endpoints = Common::findJsonArray(body, "endpoints");
    if (!endpoints) {
        return invalid("/endpoints", "an array");
    }
    const auto rest =
        fmt::format("{}[]{}", body.substr(0, endpoints->begin), body.substr(endpoints->end));
    const auto document = Common::parseJson(rest);
    if (!document.is_object()) {
        return invalid("the document", "a JSON object");
    }
    const auto asOf = document.find("as_of_ms");
    if (asOf == document.end() || !asOf->is_number_unsigned()) {
        return invalid("/as_of_ms", "a whole number of milliseconds");
    }
    auto instances = readInstances(document);
    if (!instances) {
        return tl::unexpected(instances.error());
    }
    InstanceList list;
    list.asOf = asOf->get<std::uint64_t>();
    list.instances = std::move(*instances);
    readEndpoints(endpoints->elements, list);
    return list;
}

} // namespace LaburnumChute::Readers

#include "Platform/InstanceListReader.h"

#include <optional>

#include <nlohmann/json.hpp>

namespace LaburnumChute::Platform {

namespace {

using nlohmann::json;

constexpr std::size_t ListLimitBytes = 16 * 1024 * 1024;

/// Reads the string members of one entry and remembers the first that is missing.
class EntryReader
{
public:
    explicit EntryReader(const json &entry)
        : entry_(entry)
    {
    }

    std::string text(const char *member)
    {
        const auto found = entry_.find(member);
        if (found == entry_.end() || !found->is_string()) {
            missing_ = missing_.empty() ? member : missing_;
            return {};
        }
        return found->get<std::string>();
    }

    const std::string &missing() const
    {
        return missing_;
    }

private:
    const json &entry_;
    std::string missing_;
};

auto invalid(const std::string &where, const std::string &expected)
{
    return Common::makeError(Common::ErrorCode::ProtocolViolation,
                             "the instance list: " + where + ": expected " + expected);
}

ListedInstance readInstance(EntryReader &reader)
{
    ListedInstance instance;
    instance.id = Common::InstanceId(reader.text("id"));
    instance.region = Common::RegionName(reader.text("region"));
    instance.failureDomain = Common::FailureDomainName(reader.text("failure_domain"));
    instance.http = reader.text("http");
    instance.gossip = reader.text("gossip");
    instance.channel = reader.text("channel");
    instance.leaving = reader.text("state") == "leaving";
    return instance;
}

ListedEndpoint readEndpoint(EntryReader &reader, const json &entry)
{
    ListedEndpoint endpoint;
    endpoint.id = Common::EndpointId(reader.text("id"));
    endpoint.kind = reader.text("kind") == "service" ? EndpointKind::Service : EndpointKind::Engine;
    endpoint.name = reader.text("name");
    endpoint.region = Common::RegionName(reader.text("region"));
    endpoint.failureDomain = Common::FailureDomainName(reader.text("failure_domain"));
    endpoint.http = reader.text("http");
    endpoint.leaving = reader.text("state") == "leaving";
    const auto fences = entry.find("checks_fences");
    endpoint.checksFences = fences != entry.end() && fences->is_boolean() && fences->get<bool>();
    return endpoint;
}

} // namespace

Common::Result<InstanceList> parseInstanceList(std::string_view body)
{
    const auto document = json::parse(body, nullptr, false);
    if (!document.is_object()) {
        return invalid("the document", "a JSON object");
    }
    for (const auto *member : {"instances", "endpoints"}) {
        if (!document.contains(member) || !document[member].is_array()) {
            return invalid(std::string("/") + member, "a list");
        }
    }
    InstanceList list;
    const auto asOf = document.find("as_of_ms");
    list.asOf =
        asOf != document.end() && asOf->is_number_unsigned() ? asOf->get<std::uint64_t>() : 0;
    for (const auto &entry : document["instances"]) {
        EntryReader reader(entry);
        list.instances.push_back(readInstance(reader));
        if (!reader.missing().empty()) {
            return invalid("/instances/*/" + reader.missing(), "a string");
        }
    }
    for (const auto &entry : document["endpoints"]) {
        EntryReader reader(entry);
        list.endpoints.push_back(readEndpoint(reader, entry));
        if (!reader.missing().empty()) {
            return invalid("/endpoints/*/" + reader.missing(), "a string");
        }
    }
    return list;
}

asio::awaitable<Common::Result<InstanceList>> InstanceListReader::read() const
{
    HttpQuery query;
    query.address = address_;
    query.target = "/v1/instances?viewer=" + viewer_.text();
    query.bodyLimitBytes = ListLimitBytes;
    const auto answer = co_await fetch(std::move(query));
    if (!answer) {
        co_return tl::unexpected(answer.error());
    }
    if (answer->status != 200) {
        co_return Common::makeError(Common::ErrorCode::Unavailable,
                                    fmt::format("the instance list answered {}", answer->status));
    }
    co_return parseInstanceList(answer->body);
}

} // namespace LaburnumChute::Platform

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace LaburnumChute::Common {

/// Strongly typed name: names of different kinds cannot be interchanged.
template <typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string text)
        : text_(std::move(text))
    {
    }

    const std::string &text() const
    {
        return text_;
    }
    bool empty() const
    {
        return text_.empty();
    }

    // clang-tidy 14 mistakes the defaulted operator for a null pointer.
    auto operator<=>(const Name &) const = default; // NOLINT(modernize-use-nullptr)

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(text_);
    }

    friend std::ostream &operator<<(std::ostream &stream, const Name &name)
    {
        return stream << name.text_;
    }

private:
    std::string text_;
};

/// An instance of this system, as named in the platform's instance list.
using InstanceId = Name<struct InstanceIdTag>;
/// A process that serves a model or a plain service.
using EndpointId = Name<struct EndpointIdTag>;
using RegionName = Name<struct RegionNameTag>;
using FailureDomainName = Name<struct FailureDomainNameTag>;
using CustomerName = Name<struct CustomerNameTag>;
using ModelName = Name<struct ModelNameTag>;
using AdapterName = Name<struct AdapterNameTag>;
using ServiceName = Name<struct ServiceNameTag>;
/// Identifies a request in the logs of all processes.
using RequestId = Name<struct RequestIdTag>;

/// Identifies one run of a process under an instance id: wall clock milliseconds at its start,
/// which makes the number of a replacement higher than that of its predecessor without stored
/// state.
using Incarnation = std::uint64_t;

/// Version number of the configuration; 0 if none is known yet.
using ConfigurationNumber = std::uint64_t;

} // namespace LaburnumChute::Common

template <typename Tag>
struct std::hash<LaburnumChute::Common::Name<Tag>>
{
    std::size_t operator()(const LaburnumChute::Common::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string>()(name.text());
    }
};

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace LaburnumChute::Common {

/// A name that cannot be mixed up with a name of another kind.
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

    // clang-tidy 14 takes the defaulted operator for a null pointer.
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

/// An instance of the system's own, as the platform's instance list names it.
using InstanceId = Name<struct InstanceIdTag>;
/// A model engine's runner or a runner of a plain service.
using EndpointId = Name<struct EndpointIdTag>;
using RegionName = Name<struct RegionNameTag>;
using FailureDomainName = Name<struct FailureDomainNameTag>;
using CustomerName = Name<struct CustomerNameTag>;
using ModelName = Name<struct ModelNameTag>;
using AdapterName = Name<struct AdapterNameTag>;
using ServiceName = Name<struct ServiceNameTag>;
/// Follows one request through the logs of all processes.
using RequestId = Name<struct RequestIdTag>;

/// One life of a process under an instance id. Wall clock milliseconds at its start, so that a
/// replacement's number is higher than its predecessor's although nothing is stored.
using Incarnation = std::uint64_t;

/// Number of a version of the configuration; 0 means that none is known yet.
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

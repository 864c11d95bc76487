#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace LaburnumChute::Customers {

/// Maps keys to the positions of their holders. Filled when a configuration is read and not changed
/// afterwards, so that requests look keys up without a lock.
class KeyTable
{
public:
    /// Returns false if the key is empty or already has a holder.
    bool add(std::string key, std::size_t holder);
    std::optional<std::size_t> find(std::string_view key) const;

private:
    struct Hash
    {
        using is_transparent = void;

        std::size_t operator()(std::string_view key) const
        {
            return std::hash<std::string_view>()(key);
        }
    };

    std::unordered_map<std::string, std::size_t, Hash, std::equal_to<>> holders_;
};

} // namespace LaburnumChute::Customers

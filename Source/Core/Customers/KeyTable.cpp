#include "Customers/KeyTable.h"

namespace LaburnumChute::Customers {

bool KeyTable::add(std::string key, std::size_t holder)
{
    return !key.empty() && holders_.emplace(std::move(key), holder).second;
}

std::optional<std::size_t> KeyTable::find(std::string_view key) const
{
    const auto found = holders_.find(key);
    return found == holders_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace LaburnumChute::Customers

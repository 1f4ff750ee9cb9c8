#include "storage/types/vm.hpp"

#include <array>

namespace endiveward::storage
{

namespace
{

// Indexed by vm_role.
constexpr std::array<std::string_view, 3> role_names{"router", "agent",
                                                     "other"};

} // namespace

std::string_view to_string(vm_role role)
{
    return role_names.at(static_cast<std::size_t>(role));
}

std::optional<vm_role> parse_vm_role(std::string_view text)
{
    for (std::size_t i = 0; i < role_names.size(); ++i)
        if (role_names.at(i) == text)
            return static_cast<vm_role>(i);
    return std::nullopt;
}

} // namespace endiveward::storage

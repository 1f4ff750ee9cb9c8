#ifndef ENDIVEWARD_STORAGE_TYPES_VM_HPP
#define ENDIVEWARD_STORAGE_TYPES_VM_HPP

#include "kernel/types/identifiers.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endiveward::storage
{

enum class vm_role : std::uint8_t
{
    router,
    agent,
    other
};

std::string_view to_string(vm_role role);
/// Nothing if the text names no role.
std::optional<vm_role> parse_vm_role(std::string_view text);

/// An entry of the platform's list of VMs.
struct vm
{
    kernel::vm_id id;
    vm_role role = vm_role::other;
    /// IP address and port of our process on the VM.
    std::string address;
    std::uint16_t port = 0;
    kernel::region_id region;
    kernel::zone_id zone;
    /// Set for `vm_role::agent`.
    kernel::endpoint_id endpoint;
    bool leaving = false;

    bool operator==(vm const&) const = default;
};

} // namespace endiveward::storage

#endif

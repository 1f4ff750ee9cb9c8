#ifndef ENDIVEWARD_CONFIG_TYPES_ENDPOINT_ENTRY_HPP
#define ENDIVEWARD_CONFIG_TYPES_ENDPOINT_ENTRY_HPP

#include "config/types/endpoint_model.hpp"
#include "config/types/label_set.hpp"
#include "kernel/types/identifiers.hpp"

#include <cstdint>
#include <vector>

namespace endiveward::config
{

enum class endpoint_kind : std::uint8_t
{
    engine,
    service
};

/// An endpoint as configured by operators. Its address comes from the VM list.
struct endpoint_entry
{
    kernel::endpoint_id id;
    endpoint_kind kind = endpoint_kind::engine;
    /// Set for `endpoint_kind::service`.
    kernel::service_id service;
    label_set labels;
    /// Model versions that the endpoint should load, engines only. If empty,
    /// its agent sends the engine no orders.
    std::vector<endpoint_model> models;

    bool operator==(endpoint_entry const&) const = default;
};

} // namespace endiveward::config

#endif

#ifndef ENDIVEWARD_CONFIG_LOG_ERA_HPP
#define ENDIVEWARD_CONFIG_LOG_ERA_HPP

#include "kernel/types/identifiers.hpp"

#include <cstdint>

namespace endiveward::config
{

/// Version at which the change log goes on in an era of the platform's table
/// (`storage::i_table::era`); 0 until the table was restored. It is above all
/// versions of earlier eras, so that none is given out twice.
kernel::config_version base_version(std::uint64_t era);

} // namespace endiveward::config

#endif

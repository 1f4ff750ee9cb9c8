#include "config/log_era.hpp"

namespace endiveward::config
{

namespace
{

/// Versions of one era: more than operators make in its lifetime, and still an
/// exact number in JSON after thousands of restores.
constexpr unsigned era_bits = 40;

} // namespace

kernel::config_version base_version(std::uint64_t era)
{
    return era <= 1 ? 0 : (era - 1) << era_bits;
}

} // namespace endiveward::config

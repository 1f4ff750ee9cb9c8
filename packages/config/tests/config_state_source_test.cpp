#include "config/config_state_source.hpp"

#include "config/config_state.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace endiveward::config
{

// Guards against a change that is never confirmed, because the operators'
// subcommands cannot tell where a process runs.
TEST_CASE("the config section reports version, role, region and zone")
{
    config_state_source const source(std::make_shared<config_state>(), "agent",
                                     kernel::region_id("r"),
                                     kernel::zone_id("z"));
    CHECK(source.section() == "config");
    CHECK(source.dump() == nlohmann::json({{"version", 0},
                                           {"role", "agent"},
                                           {"region", "r"},
                                           {"zone", "z"}}));
}

} // namespace endiveward::config

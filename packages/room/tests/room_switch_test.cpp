#include "room/types/room_switch.hpp"

#include <catch2/catch.hpp>

namespace endiveward::room
{

// Guards against a misspelled value that silently takes effect as the default.
TEST_CASE("the switch has three values")
{
    CHECK(parse_room_switch("auto") == room_switch::automatic);
    CHECK(parse_room_switch("on") == room_switch::on);
    CHECK(parse_room_switch("off") == room_switch::off);
    CHECK_FALSE(parse_room_switch(""));
    CHECK_FALSE(parse_room_switch("ON"));
    CHECK_FALSE(parse_room_switch("true"));
}

} // namespace endiveward::room

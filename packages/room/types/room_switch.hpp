#ifndef ENDIVEWARD_ROOM_TYPES_ROOM_SWITCH_HPP
#define ENDIVEWARD_ROOM_TYPES_ROOM_SWITCH_HPP

#include <optional>
#include <string_view>

namespace endiveward::room
{

/// Whether requests wait for capacity at the router.
enum class room_switch
{
    /// Where workspaces share capacity.
    automatic,
    on,
    off
};

/// Returns no value unless the text is `auto`, `on` or `off`.
constexpr std::optional<room_switch> parse_room_switch(std::string_view text)
{
    if (text == "auto")
        return room_switch::automatic;
    if (text == "on")
        return room_switch::on;
    if (text == "off")
        return room_switch::off;
    return std::nullopt;
}

} // namespace endiveward::room

#endif

#ifndef ENDIVEWARD_WIRE_TYPES_DRAINING_HPP
#define ENDIVEWARD_WIRE_TYPES_DRAINING_HPP

namespace endiveward::wire
{

/// An agent refuses new calls from now on.
struct draining
{
    bool operator==(draining const&) const = default;
};

} // namespace endiveward::wire

#endif

#ifndef ENDIVEWARD_WIRE_I_LOCAL_IDENTITY_HPP
#define ENDIVEWARD_WIRE_I_LOCAL_IDENTITY_HPP

#include "wire/types/hello.hpp"

namespace endiveward::wire
{

/// Describes this process to its peers. Called from any thread.
class i_local_identity
{
public:
    virtual ~i_local_identity() = default;

    /// The current state; the connection fills in protocol and nonce.
    virtual hello describe() const = 0;
};

} // namespace endiveward::wire

#endif

#ifndef ENDIVEWARD_AVAILABILITY_TYPES_LEAVING_NOTICE_HPP
#define ENDIVEWARD_AVAILABILITY_TYPES_LEAVING_NOTICE_HPP

namespace endiveward::availability
{

/// What an answer of an endpoint says about its shutdown.
enum class leaving_notice
{
    none,
    /// The endpoint is going to exit and must get no new requests.
    leaving,
    /// The field has a value without a defined meaning.
    unreadable
};

} // namespace endiveward::availability

#endif

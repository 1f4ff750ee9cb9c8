#ifndef ENDIVEWARD_GATEWAY_TYPES_REPEAT_RULE_HPP
#define ENDIVEWARD_GATEWAY_TYPES_REPEAT_RULE_HPP

namespace endiveward::gateway
{

/// How often a request may run.
enum class repeat_rule
{
    /// A plain call that may run more than once.
    idempotent,
    /// A plain call that runs once at the most for each caller's attempt.
    at_most_once,
    /// A stream that runs once at the most.
    stream,
    /// A stream that another endpoint may continue after its last event.
    resumable_stream
};

constexpr bool is_stream(repeat_rule rule)
{
    return rule == repeat_rule::stream || rule == repeat_rule::resumable_stream;
}

constexpr bool may_repeat(repeat_rule rule)
{
    return rule == repeat_rule::idempotent ||
           rule == repeat_rule::resumable_stream;
}

} // namespace endiveward::gateway

#endif

#ifndef ENDIVEWARD_EXPLAIN_TYPES_VERDICT_HPP
#define ENDIVEWARD_EXPLAIN_TYPES_VERDICT_HPP

#include <string>

namespace endiveward::explain
{

/// Why a request ended as it did, as far as the logs tell.
struct verdict
{
    /// Stable name of the kind of cause, for scripts.
    std::string code;
    std::string cause;
    /// What to look at or do next.
    std::string next_step;
};

} // namespace endiveward::explain

#endif

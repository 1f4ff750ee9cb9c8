#ifndef ENDIVEWARD_RESUMPTION_RESUMPTION_POLICY_HPP
#define ENDIVEWARD_RESUMPTION_RESUMPTION_POLICY_HPP

#include "resumption/types/resumption_decision.hpp"

namespace endiveward::resumption
{

struct resumption_facts;

/// Decides where a stream that a caller takes up goes on.
resumption_decision decide_resumption(resumption_facts const& facts);

} // namespace endiveward::resumption

#endif

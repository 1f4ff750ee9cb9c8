#ifndef ENDIVEWARD_ADMISSION_I_IDEMPOTENCY_LEDGER_HPP
#define ENDIVEWARD_ADMISSION_I_IDEMPOTENCY_LEDGER_HPP

#include "admission/types/claim.hpp"
#include "kernel/i_clock.hpp"
#include "kernel/types/hash128.hpp"
#include "kernel/types/identifiers.hpp"
#include "kernel/types/result.hpp"

#include <functional>
#include <string>

namespace endiveward::admission
{

/// Ensures that a call with an idempotency key runs at most once: an attempt
/// gets the claim to run the call, the answer of an earlier attempt, or an
/// error. Not thread-safe. Each handler is called exactly once, on the thread
/// on which the methods are called.
class i_idempotency_ledger
{
public:
    using handler = std::function<void(kernel::result<claim_decision>)>;

    virtual ~i_idempotency_ledger() = default;

    /// Claims the call. Errors: `key_reused`, `outcome_unknown` (another
    /// attempt may have run, or ran without its answer being kept),
    /// `store_unavailable` (not run), `deadline_exceeded` (not run).
    virtual void begin(kernel::workspace_id const& workspace,
                       std::string const& key,
                       kernel::hash128 const& request_hash,
                       kernel::steady_time deadline, handler on_done) = 0;
    /// Records the answer of the call, or with a null pointer that its outcome
    /// is unknown.
    virtual void complete(claim const& held_claim,
                          stored_answer const* answer) = 0;
    /// Releases the claim of a call that certainly did not start.
    virtual void release(claim const& held_claim) = 0;
    /// Retries writes that the table has not confirmed. Call about once a
    /// second.
    virtual void tick() = 0;
};

} // namespace endiveward::admission

#endif

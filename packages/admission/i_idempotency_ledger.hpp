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

/// Decides between attempts to run a call with an idempotency key. Handlers
/// run on the ledger's thread, which is the thread that its methods are called
/// on, and are called exactly once.
class i_idempotency_ledger
{
public:
    using handler = std::function<void(kernel::result<claim_decision>)>;

    virtual ~i_idempotency_ledger() = default;

    /// Claims the call. Errors: `key_reused`, `outcome_unknown` (another
    /// attempt may have run), `store_unavailable` (not run).
    virtual void begin(kernel::workspace_id const& workspace,
                       std::string const& key,
                       kernel::hash128 const& request_hash,
                       kernel::steady_time deadline, handler on_done) = 0;
    /// Records the answer. A null answer records that the outcome is unknown.
    virtual void complete(claim const& held_claim,
                          stored_answer const* answer) = 0;
    /// Gives a claim back whose call certainly did not start.
    virtual void release(claim const& held_claim) = 0;
    /// Retries writes that the table did not take. Call about once a second.
    virtual void tick() = 0;
};

} // namespace endiveward::admission

#endif

#ifndef ENDIVEWARD_ADMISSION_TYPES_CLAIM_RECORD_HPP
#define ENDIVEWARD_ADMISSION_TYPES_CLAIM_RECORD_HPP

#include "admission/types/claim.hpp"
#include "kernel/i_clock.hpp"
#include "kernel/types/identifiers.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endiveward::admission
{

/// Prefix of the keys of claim rows, which continue with
/// `<workspace>/<idempotency key>`.
inline constexpr char const* claim_prefix = "claims/";

enum class claim_state : std::uint8_t
{
    /// The call may be running or may have run.
    started,
    /// The call has run.
    done,
    /// The call certainly did not start; another attempt may replace the row.
    /// The row is not deleted, because a delayed repetition of the delete could
    /// then match the row of a newer attempt, which would have the same
    /// version.
    released
};

std::string_view to_string(claim_state state);

/// The value of a claim row.
struct claim_record
{
    std::string attempt_id;
    kernel::endpoint_id endpoint;
    /// Hash of the request, in hexadecimal.
    std::string request_hash;
    claim_state state = claim_state::started;
    /// Set only in the state `done`, unless the answer is too large or not
    /// valid UTF-8.
    std::optional<stored_answer> answer;
    kernel::wall_time written_at;
    /// The table's era known to the writer when it made the claim.
    std::uint64_t era = 0;

    bool operator==(claim_record const&) const = default;
};

std::string encode(claim_record const& record);
/// Returns none if the text is not a valid claim record.
std::optional<claim_record> decode_claim_record(std::string const& text);

} // namespace endiveward::admission

#endif

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

/// Claim rows have this prefix, then `<workspace>/<idempotency key>`.
inline constexpr char const* claim_prefix = "claims/";

enum class claim_state : std::uint8_t
{
    /// The call may be running or may have run.
    started,
    /// The call ran and its answer is known.
    done,
    /// The call certainly did not start; another attempt may replace the row.
    /// Rows are not deleted instead, because a late repetition of the delete
    /// could then hit the row of a newer attempt with the same version.
    released
};

std::string_view to_string(claim_state state);

/// The value of a claim row.
struct claim_record
{
    std::string attempt_id;
    kernel::endpoint_id endpoint;
    /// Hexadecimal hash of the request.
    std::string request_hash;
    claim_state state = claim_state::started;
    /// Absent if the answer is too large or not text.
    std::optional<stored_answer> answer;
    kernel::wall_time written_at;

    bool operator==(claim_record const&) const = default;
};

std::string encode(claim_record const& record);
/// Gives nothing if the text is not a claim record.
std::optional<claim_record> decode_claim_record(std::string const& text);

} // namespace endiveward::admission

#endif

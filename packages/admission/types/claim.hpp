#ifndef ENDIVEWARD_ADMISSION_TYPES_CLAIM_HPP
#define ENDIVEWARD_ADMISSION_TYPES_CLAIM_HPP

#include <cstdint>
#include <string>
#include <variant>

namespace endiveward::admission
{

/// Exclusive right to run the call with an idempotency key.
struct claim
{
    std::string row_key;
    /// Version of the claim row in the table.
    std::uint64_t row_version = 0;
    std::string attempt_id;
};

/// Answer of a call that ran, stored to be replayed to repeated requests.
struct stored_answer
{
    int http_status = 0;
    std::string content_type;
    std::string body;

    bool operator==(stored_answer const&) const = default;
};

/// Either the claim to run the call, or the answer of an earlier attempt to
/// replay.
using claim_decision = std::variant<claim, stored_answer>;

} // namespace endiveward::admission

#endif

#ifndef ENDIVEWARD_GATEWAY_REQUEST_FIELDS_HPP
#define ENDIVEWARD_GATEWAY_REQUEST_FIELDS_HPP

#include "gateway/http/header_list.hpp"
#include "gateway/http/http_request.hpp"
#include "gateway/types/header_field_names.hpp"
#include "gateway/types/load_sample.hpp"
#include "gateway/types/prompt_info.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace endiveward::gateway
{

/// Parses the header fields that describe the prompt. Returns none if no model
/// is given.
std::optional<prompt_info> parse_prompt(header_list const& headers,
                                        header_field_names const& names);

/// Returns the sum of the prompt tokens and the maximum output tokens; none if
/// they are not given.
std::optional<std::uint64_t>
parse_total_tokens(header_list const& headers, header_field_names const& names);

/// Parses how long the caller waits for an answer; none if it is not given or
/// unreadable.
std::optional<std::chrono::milliseconds>
parse_deadline(header_list const& headers, header_field_names const& names);

/// Returns keys of the parts that other prompts may share, in order: all but
/// the last.
std::vector<std::uint64_t> shared_part_keys(prompt_info const& prompt);

/// Returns a key of the request that is the same each time it comes: of its
/// method, host, path, query, caller's key and body, or the parts of the prompt
/// if there is no body.
std::uint64_t request_key(http_request const& request,
                          header_field_names const& names);

/// Parses a load report of the form `RUNNING,WAITING,SLOTS` or
/// `RUNNING,WAITING,SLOTS,PERCENT`. The last number tells how long work takes
/// now, in percent of the usual time.
std::optional<load_sample> parse_load(std::string_view text);

} // namespace endiveward::gateway

#endif

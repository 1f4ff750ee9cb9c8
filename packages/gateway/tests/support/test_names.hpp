#ifndef ENDIVEWARD_GATEWAY_TESTS_TEST_NAMES_HPP
#define ENDIVEWARD_GATEWAY_TESTS_TEST_NAMES_HPP

#include "gateway/types/header_field_names.hpp"

namespace endiveward::gateway
{

/// Header field names for tests, different from those of any deployment.
inline header_field_names test_names()
{
    header_field_names res;
    res.request_id = "X-Id";
    res.deadline = "X-Time";
    res.key = "X-Key";
    res.workspace = "X-Workspace";
    res.expected_endpoint = "X-Endpoint-Wanted";
    res.model = "X-Model";
    res.token_counts = "X-Tokens";
    res.prompt_parts = "X-Parts";
    res.last_event_id = "X-Last-Event";
    res.resumed_request = "X-Resumes";
    res.cache_salt = "X-Salt";
    res.priority = "X-Priority";
    res.expected_version = "X-Version-Wanted";
    res.kv_source = "X-Source";
    res.kv_target = "X-Target";
    res.signature = "X-Signature";
    res.not_run = "X-Not-Run";
    res.endpoint = "X-Endpoint";
    res.load = "X-Load";
    res.leaving = "X-Leaving";
    res.request_limit = "X-Limit";
    res.weight_version = "X-Version";
    res.reserved = {res.key,          res.workspace,  res.expected_endpoint,
                    res.deadline,     res.cache_salt, res.priority,
                    res.kv_source,    res.kv_target,  res.expected_version,
                    res.signature,    res.not_run,    res.endpoint,
                    res.load,         res.leaving,    res.weight_version,
                    res.request_limit};
    return res;
}

} // namespace endiveward::gateway

#endif

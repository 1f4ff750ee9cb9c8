#ifndef ENDIVEWARD_FOLLOWER_TESTS_SUPPORT_VERSIONED_DECODER_HPP
#define ENDIVEWARD_FOLLOWER_TESTS_SUPPORT_VERSIONED_DECODER_HPP

#include "follower/i_entry_decoder.hpp"

#include <string>

namespace endiveward::follower::tests
{

/// Decodes `c5` as a configuration of version 5 and `t7` as weights of version
/// 7. The row of an endpoint is `ready` or `draining`, with `/2` for
/// incarnation 2; others are invalid.
struct versioned_decoder : i_entry_decoder
{
    kernel::result<operator_entry>
    decode_operator_row(std::string const&,
                        std::string const& value) const override
    {
        if (value.starts_with("c"))
        {
            gateway::routing_config res;
            res.version = std::stoul(value.substr(1));
            return operator_entry(res);
        }
        if (value.starts_with("t"))
            return operator_entry(weights::model_target{
                kernel::model_id("m"), std::stoul(value.substr(1))});
        return kernel::error{
            kernel::error_kind::protocol_violation, "bad", {}, {}};
    }

    kernel::result<gateway::endpoint_entry>
    decode_endpoint_row(std::string const& key,
                        std::string const& text) const override
    {
        auto const slash = text.find('/');
        auto const value = text.substr(0, slash);
        if (value != "ready" && value != "draining")
            return kernel::error{
                kernel::error_kind::protocol_violation, "bad", {}, {}};
        gateway::endpoint_entry res;
        res.id = kernel::endpoint_id(key);
        res.draining = value == "draining";
        if (slash != std::string::npos)
            res.incarnation = std::stoul(text.substr(slash + 1));
        return res;
    }
};

} // namespace endiveward::follower::tests

#endif

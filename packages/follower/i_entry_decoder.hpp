#ifndef ENDIVEWARD_FOLLOWER_I_ENTRY_DECODER_HPP
#define ENDIVEWARD_FOLLOWER_I_ENTRY_DECODER_HPP

#include "gateway/types/endpoint_entry.hpp"
#include "gateway/types/routing_config.hpp"
#include "kernel/types/result.hpp"
#include "weights/types/model_target.hpp"

#include <string>
#include <variant>

namespace endiveward::follower
{

/// A row of the operators' table that is meant for other programs.
struct unrelated_row
{
};

/// Decodes the rows that operators and endpoints write.
class i_entry_decoder
{
public:
    using operator_entry = std::variant<gateway::routing_config,
                                        weights::model_target, unrelated_row>;

    virtual ~i_entry_decoder() = default;

    virtual kernel::result<operator_entry>
    decode_operator_row(std::string const& key,
                        std::string const& value) const = 0;
    virtual kernel::result<gateway::endpoint_entry>
    decode_endpoint_row(std::string const& key,
                        std::string const& value) const = 0;
};

} // namespace endiveward::follower

#endif

#ifndef ENDIVEWARD_OBSERVE_I_STATE_SOURCE_HPP
#define ENDIVEWARD_OBSERVE_I_STATE_SOURCE_HPP

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace endiveward::observe
{

/// Contributes a section to the state dump. Called from any thread. Never
/// gives secrets, prompts or answers.
class i_state_source
{
public:
    virtual ~i_state_source() = default;

    virtual std::string_view section() const = 0;
    virtual nlohmann::json dump() const = 0;
};

} // namespace endiveward::observe

#endif

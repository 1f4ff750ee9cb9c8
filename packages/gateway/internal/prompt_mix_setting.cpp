#include "gateway/prompt_mix_setting.hpp"

#include <fmt/format.h>

#include <cstdlib>

namespace endiveward::gateway
{

kernel::result<prompt_mix_mode> parse_prompt_mix(std::string_view text)
{
    if (text.empty() || text == "off")
        return prompt_mix_mode::off;
    if (text == "on")
        return prompt_mix_mode::on;
    if (text == "auto")
        return prompt_mix_mode::automatic;
    return kernel::error{
        kernel::error_kind::invalid_settings,
        fmt::format("\"{}\" is none of on, off and auto", text),
        kernel::run_state::not_run,
        {}};
}

kernel::result<prompt_mix_mode> read_prompt_mix(std::string const& variable)
{
    char const* const text =
        std::getenv(variable.c_str()); // NOLINT(concurrency-mt-unsafe)
    auto res = parse_prompt_mix(text == nullptr ? "" : text);
    if (!kernel::ok(res))
        return kernel::error{kernel::error_kind::invalid_settings,
                             fmt::format("the environment variable {}: {}",
                                         variable,
                                         kernel::failure(res).message),
                             kernel::run_state::not_run,
                             {}};
    return res;
}

} // namespace endiveward::gateway

#ifndef ENDIVEWARD_AVAILABILITY_TYPES_REQUEST_KEYS_HPP
#define ENDIVEWARD_AVAILABILITY_TYPES_REQUEST_KEYS_HPP

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <utility>
#include <vector>

namespace endiveward::availability
{

/// Keys of what a request has in common with others that may crash endpoints,
/// too.
struct request_keys
{
    /// Depth of the whole request.
    static constexpr std::uint32_t request_depth = 0xffff;

    request_keys() = default;
    request_keys(std::initializer_list<std::uint64_t> prompt_parts)
        : parts(prompt_parts)
    {
    }
    request_keys(std::vector<std::uint64_t> prompt_parts,
                 std::optional<std::uint64_t> whole_request = {})
        : parts(std::move(prompt_parts))
        , request(whole_request)
    {
    }

    /// Calls `visit` with each key and its depth.
    template <typename F>
    void for_each(F visit) const
    {
        std::uint32_t depth = 0;
        for (auto const it : parts)
            visit(it, depth++);
        if (request)
            visit(*request, request_depth);
    }

    /// In the order of the prompt.
    std::vector<std::uint64_t> parts;
    /// Of the whole request, the same each time it comes.
    std::optional<std::uint64_t> request;
};

} // namespace endiveward::availability

#endif

#include "gateway/request_fields.hpp"

#include "gateway/prefix_cache_estimate.hpp"
#include "kernel/parse_number.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdint>

namespace endiveward::gateway
{

namespace
{

/// Further parts are not looked at: a part takes several times its text, also
/// for the time that it may be cached, and the first ones decide.
constexpr std::size_t max_prompt_parts = 64;
/// Larger numbers are taken for a mistake of the endpoint. In the documented
/// deployments neighbors slow an engine down 2.5 times.
constexpr std::uint32_t max_work_percent = 1000;
/// Longer deadlines of callers are shortened, since the sum of a time and any
/// number may overflow.
constexpr std::chrono::milliseconds max_deadline = std::chrono::hours(24);

/// Removes the text up to the separator from the front and returns it trimmed.
std::string_view take_until(std::string_view& text, char separator)
{
    auto const at = text.find(separator);
    auto const res = text.substr(0, at);
    text =
        at == std::string_view::npos ? std::string_view() : text.substr(at + 1);
    return trimmed(res);
}

reported_work_figure parse_work_figure(std::string_view text)
{
    if (text.empty())
        return no_work_figure();
    auto const percent = kernel::parse_number<std::uint32_t>(text);
    if (!percent || *percent == 0 || *percent > max_work_percent)
        return unreadable_work_figure();
    return work_figure{*percent / 100.0};
}

} // namespace

std::optional<prompt_info> parse_prompt(header_list const& headers,
                                        header_field_names const& names)
{
    auto const model = headers.find(names.model);
    if (!model || model->empty())
        return std::nullopt;
    prompt_info res;
    res.model = kernel::model_id(std::string(*model));
    auto counts = headers.value_or(names.token_counts, "");
    res.prompt_tokens =
        kernel::parse_number<std::uint32_t>(take_until(counts, ','))
            .value_or(0);
    res.max_output_tokens =
        kernel::parse_number<std::uint32_t>(take_until(counts, ','))
            .value_or(0);
    auto parts = headers.value_or(names.prompt_parts, "");
    while (!parts.empty() && res.parts.size() < max_prompt_parts)
    {
        auto part = take_until(parts, ',');
        auto const id = take_until(part, ':');
        // The parts only guide the choice of an endpoint; the field itself is
        // forwarded unchanged.
        if (id.empty())
            break;
        res.parts.push_back(
            {std::string(id),
             kernel::parse_number<std::uint32_t>(trimmed(part)).value_or(0)});
    }
    return res;
}

std::optional<std::uint64_t> parse_total_tokens(header_list const& headers,
                                                header_field_names const& names)
{
    auto counts = headers.value_or(names.token_counts, "");
    auto const prompt =
        kernel::parse_number<std::uint32_t>(take_until(counts, ','));
    auto const output =
        kernel::parse_number<std::uint32_t>(take_until(counts, ','));
    if (!prompt)
        return std::nullopt;
    return std::uint64_t{*prompt} + output.value_or(0);
}

std::optional<std::chrono::milliseconds>
parse_deadline(header_list const& headers, header_field_names const& names)
{
    auto const res = kernel::parse_number<std::int64_t>(
        headers.value_or(names.deadline, ""));
    if (!res || *res < 0)
        return std::nullopt;
    return std::min(std::chrono::milliseconds(*res), max_deadline);
}

std::vector<std::uint64_t> shared_part_keys(prompt_info const& prompt)
{
    std::vector<std::uint64_t> res;
    for (std::size_t n = 0; n + 1 < prompt.parts.size(); ++n)
        res.push_back(part_key(prompt.model.str(), prompt.parts[n].id));
    return res;
}

std::uint64_t request_key(http_request const& request,
                          header_field_names const& names)
{
    auto const content = request.body.empty()
                             ? request.headers.value_or(names.prompt_parts, "")
                             : std::string_view(request.body);
    std::uint64_t res = 0;
    for (auto const it :
         {std::string_view(request.method),
          std::string_view(request.headers.value_or("Host", "")),
          std::string_view(request.target),
          std::string_view(request.headers.value_or(names.key, "")), content})
        res = XXH3_64bits_withSeed(it.data(), it.size(), res);
    return res;
}

std::optional<load_sample> parse_load(std::string_view text)
{
    std::array<std::uint32_t, 3> counts{};
    for (auto& it : counts)
    {
        auto const n =
            kernel::parse_number<std::uint32_t>(take_until(text, ','));
        if (!n)
            return std::nullopt;
        it = *n;
    }
    load_sample res;
    res.running = counts[0];
    res.waiting = counts[1];
    res.slots = counts[2];
    res.figure = parse_work_figure(take_until(text, ','));
    return res;
}

} // namespace endiveward::gateway

#include "engine/prompt.hpp"

#include "kernel/types/hash128.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace endiveward::stand_ins
{

namespace
{

constexpr std::array<std::string_view, 16> words{
    "audit",  "sample", "ledger", "invoice", "approve", "review",
    "reject", "permit", "route",  "summit",  "pass",    "record",
    "entry",  "total",  "north",  "south"};

std::string last_content(nlohmann::json const& body)
{
    if (!body.contains("messages"))
        return body.value("prompt", "");
    auto const& messages = body.at("messages");
    return messages.empty() ? "" : messages.back().value("content", "");
}

std::string word(std::uint64_t hash)
{
    return fmt::format("{}{:04x}", words[hash % words.size()],
                       (hash >> 32U) & 0xffffU);
}

} // namespace

std::string prompt_text(nlohmann::json const& body)
{
    if (!body.contains("messages"))
        return body.value("prompt", "");
    std::string text;
    for (auto const& message : body.at("messages"))
    {
        text += message.value("role", "") + "\n";
        text += message.value("content", "") + "\n";
    }
    return text;
}

std::string request_marker(nlohmann::json const& body)
{
    std::string const text = last_content(body);
    auto const begin = text.find("<<");
    if (begin == std::string::npos)
        return "";
    auto const end = text.find(">>", begin);
    if (end == std::string::npos)
        return "";
    return text.substr(begin + 2, end - begin - 2);
}

std::vector<std::string> answer_tokens(nlohmann::json const& body)
{
    constexpr std::size_t default_tokens = 16;
    std::size_t const count =
        std::max<std::size_t>(1, body.value("max_tokens", default_tokens));
    auto const model = kernel::hash_bytes(body.value("model", ""));
    auto const request = kernel::hash_chained(model, prompt_text(body));
    std::vector<std::string> tokens;
    std::string const marker = request_marker(body);
    if (!marker.empty())
        tokens.push_back("<<" + marker + ">>");
    while (tokens.size() + 1 < count)
        tokens.push_back(word(kernel::mix64(request.low, tokens.size())));
    if (tokens.size() >= count)
        return tokens;
    auto const digest = kernel::hash_chained(
        request, fmt::format("{}", fmt::join(tokens, " ")));
    tokens.push_back(fmt::format("end{:08x}", digest.low >> 32U));
    return tokens;
}

std::string answer_text(nlohmann::json const& body)
{
    return fmt::format("{}", fmt::join(answer_tokens(body), " "));
}

} // namespace endiveward::stand_ins

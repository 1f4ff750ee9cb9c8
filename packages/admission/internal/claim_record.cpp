#include "admission/types/claim_record.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace endiveward::admission
{

namespace
{

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Indexed by claim_state.
constexpr std::array<std::string_view, 3> state_texts{"started", "done",
                                                      "released"};

std::optional<claim_state> parse_state(std::string const& text)
{
    auto const it = std::find(state_texts.begin(), state_texts.end(), text);
    if (it == state_texts.end())
        return std::nullopt;
    return static_cast<claim_state>(it - state_texts.begin());
}

std::optional<stored_answer> get_answer(json const& row)
{
    if (!row.contains("answer"))
        return std::nullopt;
    auto const& answer = row.at("answer");
    return stored_answer{answer.at("status").get<int>(),
                         answer.at("content_type").get<std::string>(),
                         answer.at("body").get<std::string>()};
}

} // namespace

std::string_view to_string(claim_state state)
{
    return state_texts.at(static_cast<std::size_t>(state));
}

std::string encode(claim_record const& record)
{
    auto const time =
        duration_cast<milliseconds>(record.written_at.time_since_epoch());
    json row{
        {"attempt", record.attempt_id},   {"endpoint", record.endpoint.str()},
        {"request", record.request_hash}, {"state", to_string(record.state)},
        {"written_at_ms", time.count()},  {"era", record.era}};
    if (record.answer)
        row["answer"] = {{"status", record.answer->http_status},
                         {"content_type", record.answer->content_type},
                         {"body", record.answer->body}};
    return row.dump();
}

std::optional<claim_record> decode_claim_record(std::string const& text)
try
{
    auto const row = json::parse(text);
    claim_record record;
    record.attempt_id = row.at("attempt").get<std::string>();
    record.endpoint =
        kernel::endpoint_id(row.at("endpoint").get<std::string>());
    record.request_hash = row.at("request").get<std::string>();
    auto const state = parse_state(row.at("state").get<std::string>());
    if (!state)
        return std::nullopt;
    record.state = *state;
    record.answer = get_answer(row);
    record.written_at = kernel::wall_time(
        milliseconds(row.at("written_at_ms").get<std::int64_t>()));
    record.era = row.value("era", std::uint64_t{0});
    return record;
}
catch (json::exception const&)
{
    return std::nullopt;
}

} // namespace endiveward::admission

#include "storage/http_table.hpp"

#include "storage/http_client.hpp"
#include "storage/internal/store_answer.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace endiveward::storage
{

namespace
{

using nlohmann::json;

row parse_row(json const& value)
{
    return {value.at("key").get<std::string>(),
            value.at("value").get<std::string>(),
            value.at("version").get<std::uint64_t>()};
}

std::string transaction_body(table_transaction const& transaction)
{
    json conditions = json::array();
    for (auto const& it : transaction.conditions)
        conditions.push_back(json{{"key", it.key}, {"version", it.version}});
    json writes = json::array();
    for (auto const& it : transaction.writes)
        writes.push_back(json{{"key", it.key},
                              {"value", it.value ? json(*it.value) : json()}});
    return json{{"conditions", std::move(conditions)},
                {"writes", std::move(writes)}}
        .dump();
}

void raise_to(std::atomic<std::uint64_t>& era, std::uint64_t seen)
{
    auto current = era.load();
    while (current < seen && !era.compare_exchange_weak(current, seen))
    {
    }
}

transaction_outcome parse_outcome(http_response const& response)
{
    auto const value = json::parse(response.body);
    transaction_outcome res;
    res.committed = value.at("committed").get<bool>();
    if (res.committed != (response.status == 200))
        throw std::runtime_error("status and body disagree");
    if (!res.committed)
        res.failed_keys =
            value.at("failed_keys").get<std::vector<std::string>>();
    return res;
}

} // namespace

http_table::http_table(std::shared_ptr<http_client> client,
                       std::string base_url)
    : client_(std::move(client))
    , base_url_(std::move(base_url))
{
}

void http_table::send(
    http_request request,
    std::function<void(kernel::result<http_response>)> on_done)
{
    client_->send(std::move(request),
                  [era = era_, on_done = std::move(on_done)](
                      kernel::result<http_response> res)
                  {
                      if (kernel::ok(res) && kernel::value(res).table_era)
                          raise_to(*era, *kernel::value(res).table_era);
                      on_done(std::move(res));
                  });
}

void http_table::commit(table_transaction transaction,
                        std::chrono::milliseconds timeout,
                        handler<transaction_outcome> on_done)
{
    http_request request;
    request.method = "POST";
    request.url = base_url_ + "/v1/transactions";
    request.headers = {"Content-Type: application/json"};
    request.timeout = timeout;
    // A repetition after a lost answer would find its own writes and be
    // answered "not committed".
    request.send_once = true;
    try
    {
        request.body = transaction_body(transaction);
    }
    catch (json::exception const& ex)
    {
        return on_done(
            kernel::error{kernel::error_kind::store_unavailable,
                          fmt::format("a value is not UTF-8: {}", ex.what()),
                          kernel::run_state::not_run, std::nullopt});
    }
    send(std::move(request), store_handler<transaction_outcome>(
                                 {200, 409}, parse_outcome, on_done));
}

void http_table::read(std::string key, std::chrono::milliseconds timeout,
                      handler<std::optional<row>> on_done)
{
    http_request request;
    request.url = fmt::format("{}/v1/row?key={}", base_url_, url_encoded(key));
    request.timeout = timeout;
    send(std::move(request),
         store_handler<std::optional<row>>(
             {200, 404},
             [](http_response& it)
             {
                 if (it.status == 404)
                     return std::optional<row>();
                 return std::optional<row>(parse_row(json::parse(it.body)));
             },
             std::move(on_done)));
}

void http_table::scan(std::string prefix, std::string after, std::size_t limit,
                      std::chrono::milliseconds timeout,
                      handler<std::vector<row>> on_done)
{
    http_request request;
    request.url =
        fmt::format("{}/v1/rows?prefix={}&after={}&limit={}", base_url_,
                    url_encoded(prefix), url_encoded(after), limit);
    request.timeout = timeout;
    send(std::move(request), store_handler<std::vector<row>>(
                                 {200},
                                 [](http_response& it)
                                 {
                                     auto const body = json::parse(it.body);
                                     std::vector<row> res;
                                     for (auto const& value : body.at("rows"))
                                         res.push_back(parse_row(value));
                                     return res;
                                 },
                                 std::move(on_done)));
}

} // namespace endiveward::storage

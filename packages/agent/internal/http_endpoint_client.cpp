#include "agent/internal/http_endpoint_client.hpp"

#include "agent/internal/endpoint_exchange.hpp"
#include "placement/cache_namespace.hpp"

#include <asio/io_context.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace endiveward::agent
{

namespace
{

constexpr std::chrono::seconds query_timeout{5};
// A listing of 200,000 blocks takes about 7 MB.
constexpr std::size_t max_query_response_bytes = 64U << 20U;
constexpr int status_ok = 200;
constexpr int status_conflict = 409;

using nlohmann::json;

kernel::error query_error(std::string_view query, std::string_view reason)
{
    return {kernel::error_kind::connection_lost,
            fmt::format("request to the endpoint failed ({}): {}; check that "
                        "it is running and implements the endpoint protocol",
                        query, reason),
            kernel::run_state::unknown,
            {}};
}

std::uint64_t parse_hex(std::string_view digits)
{
    std::uint64_t number = 0;
    auto const* const end = digits.data() + digits.size();
    auto const res = std::from_chars(digits.data(), end, number, 16);
    if (res.ec != std::errc() || res.ptr != end)
        throw std::invalid_argument("block hash is not a hexadecimal number");
    return number;
}

kernel::hash128 parse_block(json const& source)
{
    auto const& text = source.get_ref<std::string const&>();
    constexpr std::size_t digits = 16;
    if (text.size() != 2 * digits)
        throw std::invalid_argument("block hash does not have 32 digits");
    std::string_view const all(text);
    return {parse_hex(all.substr(0, digits)), parse_hex(all.substr(digits))};
}

engine_load parse_load(json const& source)
{
    engine_load load;
    load.incarnation = source.at("incarnation").get<kernel::incarnation>();
    load.running = source.at("running").get<std::size_t>();
    load.waiting = source.at("waiting").get<std::size_t>();
    load.capacity = source.at("capacity").get<std::size_t>();
    for (auto const& it : source.at("models"))
        load.models.push_back(
            {kernel::model_id(it.at("model").get<std::string>()),
             kernel::model_version(it.at("version").get<std::string>())});
    return load;
}

cache_listing parse_listing(json const& source)
{
    cache_listing listing;
    listing.incarnation = source.at("incarnation").get<kernel::incarnation>();
    listing.last_event = source.at("last_event").get<std::uint64_t>();
    for (auto const& it : source.at("blocks"))
        listing.blocks.push_back(parse_block(it));
    return listing;
}

std::vector<admission::cache_event> parse_events(json const& source)
{
    std::vector<admission::cache_event> events;
    auto const incarnation =
        source.at("incarnation").get<kernel::incarnation>();
    for (auto const& it : source.at("events"))
    {
        auto const kind = it.at("kind").get<std::string>();
        if (kind != "stored" && kind != "evicted")
            throw std::invalid_argument("cache event has an unknown kind");
        events.push_back({incarnation, it.at("number").get<std::uint64_t>(),
                          kind == "stored"
                              ? admission::cache_event_kind::stored
                              : admission::cache_event_kind::evicted,
                          parse_block(it.at("block"))});
    }
    return events;
}

/// Parses a response, or returns an error that names the query.
template <typename T>
kernel::result<T>
parse_response(std::string_view query, int status, std::string const& body,
               std::string const& reason, T (*read)(json const&))
{
    if (status != status_ok)
        return query_error(
            query, reason.empty() ? fmt::format("status {}", status) : reason);
    try
    {
        return read(json::parse(body));
    }
    catch (std::exception const& ex)
    {
        return query_error(query, ex.what());
    }
}

} // namespace

http_endpoint_client::http_endpoint_client(asio::io_context& context,
                                           std::string base_url)
    : context_(context)
    , base_url_(std::move(base_url))
    , transport_(context)
{
}

http_endpoint_client::~http_endpoint_client() = default;

void http_endpoint_client::start(std::uint64_t id, endpoint_request request,
                                 i_endpoint_observer& observer)
{
    auto exchange = std::make_shared<endpoint_exchange>(
        context_, transport_, *this, id, base_url_, std::move(request));
    exchanges_[id] = {exchange, &observer};
    exchange->start();
}

void http_endpoint_client::pause(std::uint64_t id)
{
    auto const it = exchanges_.find(id);
    if (it != exchanges_.end())
        it->second.exchange->pause();
}

void http_endpoint_client::resume(std::uint64_t id)
{
    auto const it = exchanges_.find(id);
    if (it != exchanges_.end())
        it->second.exchange->resume();
}

void http_endpoint_client::cancel(std::uint64_t id)
{
    auto const node = exchanges_.extract(id);
    if (!node.empty())
        node.mapped().exchange->cancel();
}

void http_endpoint_client::on_chunk(std::uint64_t id, std::string bytes)
{
    auto const it = exchanges_.find(id);
    if (it != exchanges_.end())
        it->second.observer->on_chunk(id, std::move(bytes));
}

void http_endpoint_client::on_notices(std::uint64_t id,
                                      endpoint_notices const& notices)
{
    auto const it = exchanges_.find(id);
    if (it != exchanges_.end())
        it->second.observer->on_notices(id, notices);
}

void http_endpoint_client::on_end(std::uint64_t id, endpoint_result const& end)
{
    auto const node = exchanges_.extract(id);
    if (!node.empty())
        node.mapped().observer->on_end(id, end);
}

void http_endpoint_client::load(i_endpoint_client::handler<engine_load> on_done)
{
    http_request request;
    request.url = base_url_ + "/v1/load";
    request.timeout = query_timeout;
    fetch(std::move(request),
          [on_done](int status, std::string const& body,
                    std::string const& reason) {
              on_done(parse_response("load report", status, body, reason,
                                     &parse_load));
          });
}

void http_endpoint_client::list_blocks(
    i_endpoint_client::handler<cache_listing> on_done)
{
    http_request request;
    request.url = base_url_ + "/v1/cache/blocks";
    request.timeout = query_timeout;
    fetch(std::move(request),
          [on_done](int status, std::string const& body,
                    std::string const& reason)
          {
              on_done(parse_response("cache listing", status, body, reason,
                                     &parse_listing));
          });
}

void http_endpoint_client::events(
    std::uint64_t after, std::chrono::milliseconds wait,
    i_endpoint_client::handler<std::vector<admission::cache_event>> on_done)
{
    http_request request;
    request.url = fmt::format("{}/v1/cache/events?after={}&wait_ms={}",
                              base_url_, after, wait.count());
    request.timeout = wait + query_timeout;
    fetch(std::move(request),
          [on_done](int status, std::string const& body,
                    std::string const& reason)
          {
              on_done(parse_response("cache events", status, body, reason,
                                     &parse_events));
          });
}

void http_endpoint_client::order(
    engine_order const& new_order,
    i_endpoint_client::handler<kernel::done> on_done)
{
    json body{{"order", new_order.kind},
              {"model", new_order.model},
              {"version", new_order.version},
              {"fencing_number", new_order.fencing_number}};
    if (!new_order.role.empty())
        body["role"] = new_order.role;
    http_request request;
    request.method = "POST";
    request.url = base_url_ + "/v1/orders";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = body.dump();
    request.timeout = query_timeout;
    fetch(std::move(request),
          [on_done](int status, std::string const&, std::string const& reason)
          {
              if (status == status_conflict)
                  return on_done(kernel::error{
                      kernel::error_kind::conflict,
                      "the engine refused the order because its fencing number "
                      "is outdated; another agent holds the lease",
                      kernel::run_state::not_run,
                      {}});
              constexpr int first_error = 300;
              if (status >= status_ok && status < first_error)
                  return on_done(kernel::done{});
              on_done(query_error(
                  "order",
                  reason.empty() ? fmt::format("status {}", status) : reason));
          });
}

void http_endpoint_client::fetch(
    http_request request,
    std::function<void(int, std::string, std::string)> const& on_done)
{
    struct query_response
    {
        int status = 0;
        std::string body;
        bool too_large = false;
    };
    auto const response = std::make_shared<query_response>();
    http_handlers handlers;
    handlers.on_head = [response](http_head const& head)
    { response->status = head.status; };
    handlers.on_data = [response](std::string const& bytes)
    {
        response->too_large |=
            response->body.size() + bytes.size() > max_query_response_bytes;
        if (!response->too_large)
            response->body += bytes;
    };
    handlers.on_end = [response, on_done](http_end const& end)
    {
        if (response->too_large)
            return on_done(0, {}, "the response is too large");
        if (!end.complete)
            return on_done(0, {}, end.reason);
        on_done(response->status, std::move(response->body), {});
    };
    transport_.start(std::move(request), std::move(handlers));
}

} // namespace endiveward::agent

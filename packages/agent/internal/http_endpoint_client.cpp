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
// A listing of 200,000 blocks has about 7 MB.
constexpr std::size_t max_query_bytes = 64U << 20U;
constexpr int status_ok = 200;
constexpr int status_conflict = 409;

using nlohmann::json;

kernel::error query_error(std::string_view what, std::string_view reason)
{
    return {kernel::error_kind::connection_lost,
            fmt::format("{} of the endpoint failed: {}; check that it runs and "
                        "follows the protocol",
                        what, reason),
            kernel::run_state::unknown,
            {}};
}

std::uint64_t read_hex(std::string_view digits)
{
    std::uint64_t number = 0;
    auto const* const end = digits.data() + digits.size();
    auto const res = std::from_chars(digits.data(), end, number, 16);
    if (res.ec != std::errc() || res.ptr != end)
        throw std::invalid_argument("a block is not a hexadecimal number");
    return number;
}

kernel::hash128 read_block(json const& from)
{
    auto const& text = from.get_ref<std::string const&>();
    constexpr std::size_t digits = 16;
    if (text.size() != 2 * digits)
        throw std::invalid_argument("a block has not 32 digits");
    std::string_view const all(text);
    return {read_hex(all.substr(0, digits)), read_hex(all.substr(digits))};
}

engine_load read_load(json const& from)
{
    engine_load load;
    load.incarnation = from.at("incarnation").get<kernel::incarnation>();
    load.running = from.at("running").get<std::size_t>();
    load.waiting = from.at("waiting").get<std::size_t>();
    load.capacity = from.at("capacity").get<std::size_t>();
    for (auto const& it : from.at("models"))
        load.models.push_back(
            {kernel::model_id(it.at("model").get<std::string>()),
             kernel::model_version(it.at("version").get<std::string>())});
    return load;
}

cache_listing read_listing(json const& from)
{
    cache_listing listing;
    listing.incarnation = from.at("incarnation").get<kernel::incarnation>();
    listing.last_event = from.at("last_event").get<std::uint64_t>();
    for (auto const& it : from.at("blocks"))
        listing.blocks.push_back(read_block(it));
    return listing;
}

std::vector<admission::cache_event> read_events(json const& from)
{
    std::vector<admission::cache_event> events;
    auto const incarnation = from.at("incarnation").get<kernel::incarnation>();
    for (auto const& it : from.at("events"))
    {
        auto const kind = it.at("kind").get<std::string>();
        if (kind != "stored" && kind != "evicted")
            throw std::invalid_argument("an event has an unknown kind");
        events.push_back({incarnation, it.at("number").get<std::uint64_t>(),
                          kind == "stored"
                              ? admission::cache_event_kind::stored
                              : admission::cache_event_kind::evicted,
                          read_block(it.at("block"))});
    }
    return events;
}

/// Turns an answer into a value, or into an error that names the query.
template <typename T>
kernel::result<T> read_answer(std::string_view what, int status,
                              std::string const& body,
                              std::string const& reason, T (*read)(json const&))
{
    if (status != status_ok)
        return query_error(
            what, reason.empty() ? fmt::format("status {}", status) : reason);
    try
    {
        return read(json::parse(body));
    }
    catch (std::exception const& ex)
    {
        return query_error(what, ex.what());
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

void http_endpoint_client::start(std::uint64_t id, endpoint_request call,
                                 i_endpoint_observer& observer)
{
    auto exchange = std::make_shared<endpoint_exchange>(
        context_, transport_, *this, id, base_url_, std::move(call));
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
              on_done(read_answer("the load report", status, body, reason,
                                  &read_load));
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
              on_done(read_answer("the cache listing", status, body, reason,
                                  &read_listing));
          });
}

void http_endpoint_client::events(
    std::uint64_t after, std::chrono::milliseconds wait,
    i_endpoint_client::handler<std::vector<admission::cache_event>> done)
{
    http_request request;
    request.url = fmt::format("{}/v1/cache/events?after={}&wait_ms={}",
                              base_url_, after, wait.count());
    request.timeout = wait + query_timeout;
    fetch(std::move(request),
          [done](int status, std::string const& body, std::string const& reason)
          {
              done(read_answer("the cache events", status, body, reason,
                               &read_events));
          });
}

void http_endpoint_client::order(
    engine_order const& what, i_endpoint_client::handler<kernel::done> on_done)
{
    json body{{"order", what.order},
              {"model", what.model},
              {"version", what.version},
              {"fencing_number", what.fencing_number}};
    if (!what.role.empty())
        body["role"] = what.role;
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
                      "is old; another agent holds the lease",
                      kernel::run_state::not_run,
                      {}});
              constexpr int first_error = 300;
              if (status >= status_ok && status < first_error)
                  return on_done(kernel::done{});
              on_done(query_error(
                  "an order",
                  reason.empty() ? fmt::format("status {}", status) : reason));
          });
}

void http_endpoint_client::fetch(
    http_request request,
    std::function<void(int, std::string, std::string)> const& on_done)
{
    struct answer
    {
        int status = 0;
        std::string body;
        bool too_large = false;
    };
    auto const got = std::make_shared<answer>();
    http_handlers handlers;
    handlers.on_head = [got](http_head const& head)
    { got->status = head.status; };
    handlers.on_data = [got](std::string const& bytes)
    {
        got->too_large |= got->body.size() + bytes.size() > max_query_bytes;
        if (!got->too_large)
            got->body += bytes;
    };
    handlers.on_end = [got, on_done](http_end const& end)
    {
        if (got->too_large)
            return on_done(0, {}, "the answer is too large");
        if (!end.complete)
            return on_done(0, {}, end.reason);
        on_done(got->status, std::move(got->body), {});
    };
    transport_.start(std::move(request), std::move(handlers));
}

} // namespace endiveward::agent

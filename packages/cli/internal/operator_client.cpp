#include "cli/internal/operator_client.hpp"

#include "storage/http_client.hpp"

#include <fmt/format.h>

#include <utility>

namespace endiveward::cli
{

namespace
{

using answer = kernel::result<storage::http_response>;

kernel::result<nlohmann::json> parse(std::string const& address,
                                     answer const& res)
{
    auto const refused = [](std::string message)
    {
        return kernel::error{kernel::error_kind::connection_lost,
                             std::move(message), kernel::run_state::not_run,
                             std::nullopt};
    };
    if (!kernel::ok(res))
        return kernel::failure(res);
    auto const& response = kernel::value(res);
    if (response.status == 401)
        return refused(fmt::format("{} refuses the operator token; use the "
                                   "settings of its deployment",
                                   address));
    if (response.status != 200)
        return refused(
            fmt::format("{} answers with status {}; check the address", address,
                        response.status));
    auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (body.is_discarded())
        return refused(fmt::format("{} does not answer with JSON; check the "
                                   "address",
                                   address));
    return body;
}

} // namespace

operator_client::operator_client(std::string token,
                                 std::chrono::milliseconds timeout)
    : token_(std::move(token))
    , timeout_(timeout)
    , http_(std::make_unique<storage::http_client>())
{
}

operator_client::~operator_client() = default;

std::future<kernel::result<storage::http_response>>
operator_client::start(std::string const& address,
                       std::string const& path) const
{
    storage::http_request request;
    request.url = fmt::format("http://{}{}", address, path);
    request.headers = {"Authorization: Bearer " + token_};
    request.timeout = timeout_;
    auto const promise = std::make_shared<std::promise<answer>>();
    http_->send(std::move(request),
                [promise](answer res) { promise->set_value(std::move(res)); });
    return promise->get_future();
}

kernel::result<nlohmann::json>
operator_client::get(std::string const& address, std::string const& path) const
{
    return parse(address, start(address, path).get());
}

void operator_client::ask(std::vector<process_report>& reports) const
{
    std::vector<std::future<answer>> answers;
    answers.reserve(reports.size());
    for (auto const& it : reports)
        answers.push_back(start(it.address, "/state/config"));
    for (std::size_t i = 0; i < reports.size(); ++i)
    {
        auto& it = reports[i];
        auto const res = parse(it.address, answers[i].get());
        it.reachable = kernel::ok(res) && kernel::value(res).is_object();
        it.problem = kernel::ok(res) ? "" : kernel::failure(res).message;
        if (!it.reachable)
            continue;
        auto const text = [&](char const* name, std::string const& fallback)
        {
            auto const found = kernel::value(res).find(name);
            return found != kernel::value(res).end() && found->is_string()
                       ? found->get<std::string>()
                       : fallback;
        };
        auto const version = kernel::value(res).find("version");
        it.version =
            version != kernel::value(res).end() && version->is_number_unsigned()
                ? version->get<kernel::config_version>()
                : 0;
        it.region = text("region", it.region);
        it.zone = text("zone", it.zone);
        it.role = text("role", it.role);
    }
}

} // namespace endiveward::cli

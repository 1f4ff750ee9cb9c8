#include "storage/http_vm_list.hpp"

#include "storage/http_client.hpp"
#include "storage/internal/store_answer.hpp"

#include <fmt/format.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <cstddef>
#include <limits>
#include <stdexcept>
#include <utility>

namespace endiveward::storage
{

namespace
{

using nlohmann::json;

/// The library converts other numbers silently to some port.
std::uint16_t parse_port(json const& value)
{
    constexpr auto max_port = std::numeric_limits<std::uint16_t>::max();
    if (!value.is_number_unsigned() || value == 0 || value > max_port)
        throw std::invalid_argument("port is not a number from 1 to 65535");
    return value.get<std::uint16_t>();
}

vm parse_vm(json const& value)
{
    vm res;
    res.id = kernel::vm_id(value.at("id").get<std::string>());
    // A role that this version does not know is not ours.
    res.role = parse_vm_role(value.at("role").get<std::string>())
                   .value_or(vm_role::other);
    res.address = value.at("address").get<std::string>();
    res.port = parse_port(value.at("port"));
    res.region = kernel::region_id(value.at("region").get<std::string>());
    res.zone = kernel::zone_id(value.at("zone").get<std::string>());
    if (auto const it = value.find("endpoint");
        it != value.end() && it->is_string())
        res.endpoint = kernel::endpoint_id(it->get<std::string>());
    res.leaving = value.value("leaving", false);
    return res;
}

/// An entry that cannot be read names no VM; the others hold. `ignored` is the
/// number of such entries in the list before, which have been logged.
std::vector<vm> parse_vms(json const& list, std::atomic<std::size_t>& ignored)
{
    std::vector<vm> res;
    std::size_t n = 0;
    std::string reason;
    for (auto const& it : list)
    {
        try
        {
            res.push_back(parse_vm(it));
        }
        catch (std::exception const& ex)
        {
            ++n;
            reason = ex.what();
        }
    }
    if (ignored.exchange(n) != n && n > 0)
        LOG4CPLUS_WARN(log4cplus::Logger::getInstance(
                           LOG4CPLUS_TEXT("endiveward.vm_list")),
                       fmt::format("{} of {} entries of the VM list cannot be "
                                   "read and are ignored; the last one: {}",
                                   n, list.size(), reason));
    return res;
}

} // namespace

http_vm_list::http_vm_list(std::shared_ptr<http_client> client,
                           std::string base_url)
    : client_(std::move(client))
    , base_url_(std::move(base_url))
    , ignored_(std::make_shared<std::atomic<std::size_t>>(0))
{
}

void http_vm_list::list(std::chrono::milliseconds timeout, handler on_done)
{
    http_request request;
    request.url = base_url_ + "/v1/vms";
    request.timeout = timeout;
    client_->send(std::move(request),
                  store_handler<std::vector<vm>>(
                      {200},
                      [ignored = ignored_](http_response& it)
                      {
                          auto const body = json::parse(it.body);
                          return parse_vms(body.at("vms"), *ignored);
                      },
                      std::move(on_done)));
}

} // namespace endiveward::storage

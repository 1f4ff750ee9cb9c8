#include "storage/http_vm_list.hpp"

#include "storage/http_client.hpp"
#include "storage/internal/store_answer.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace endiveward::storage
{

namespace
{

using nlohmann::json;

vm parse_vm(json const& value)
{
    vm res;
    res.id = kernel::vm_id(value.at("id").get<std::string>());
    // A role that this version does not know is not ours.
    res.role = parse_vm_role(value.at("role").get<std::string>())
                   .value_or(vm_role::other);
    res.address = value.at("address").get<std::string>();
    res.port = value.at("port").get<std::uint16_t>();
    res.region = kernel::region_id(value.at("region").get<std::string>());
    res.zone = kernel::zone_id(value.at("zone").get<std::string>());
    if (auto const it = value.find("endpoint");
        it != value.end() && it->is_string())
        res.endpoint = kernel::endpoint_id(it->get<std::string>());
    res.leaving = value.value("leaving", false);
    return res;
}

} // namespace

http_vm_list::http_vm_list(std::shared_ptr<http_client> client,
                           std::string base_url)
    : client_(std::move(client))
    , base_url_(std::move(base_url))
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
                      [](http_response& it)
                      {
                          auto const body = json::parse(it.body);
                          std::vector<vm> res;
                          for (auto const& value : body.at("vms"))
                              res.push_back(parse_vm(value));
                          return res;
                      },
                      std::move(on_done)));
}

} // namespace endiveward::storage

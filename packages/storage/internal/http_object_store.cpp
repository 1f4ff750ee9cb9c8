#include "storage/http_object_store.hpp"

#include "storage/http_client.hpp"
#include "storage/internal/store_answer.hpp"

#include <utility>

namespace endiveward::storage
{

namespace
{

http_request object_request(std::string const& base_url, std::string const& key,
                            std::chrono::milliseconds timeout)
{
    http_request res;
    res.url = base_url + "/v1/object?key=" + url_encoded(key);
    res.timeout = timeout;
    return res;
}

} // namespace

http_object_store::http_object_store(std::shared_ptr<http_client> client,
                                     std::string base_url)
    : client_(std::move(client))
    , base_url_(std::move(base_url))
{
}

void http_object_store::put(std::string key, std::string bytes,
                            std::chrono::milliseconds timeout,
                            handler<kernel::done> on_done)
{
    auto request = object_request(base_url_, key, timeout);
    request.method = "PUT";
    request.headers = {"Content-Type: application/octet-stream"};
    request.body = std::move(bytes);
    client_->send(std::move(request),
                  store_handler<kernel::done>(
                      {200, 201, 204},
                      [](http_response&) { return kernel::done(); },
                      std::move(on_done)));
}

void http_object_store::get(std::string key, std::chrono::milliseconds timeout,
                            handler<std::optional<std::string>> on_done)
{
    client_->send(object_request(base_url_, key, timeout),
                  store_handler<std::optional<std::string>>(
                      {200, 404},
                      [](http_response& it)
                      {
                          if (it.status == 404)
                              return std::optional<std::string>();
                          return std::optional<std::string>(std::move(it.body));
                      },
                      std::move(on_done)));
}

} // namespace endiveward::storage

#include "e2e/callers.hpp"

#include "engine/prompt.hpp"
#include "support/wait.hpp"

#include <fmt/format.h>
#include <openssl/evp.h>

#include <array>
#include <cstdint>
#include <string_view>
#include <utility>

namespace endiveward::e2e
{

using nlohmann::json;
using test_support::http_answer;
using test_support::http_call;

namespace
{

std::string sha256_hex(std::string const& text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(),
               nullptr);
    std::string hex;
    for (unsigned n = 0; n < size; ++n)
        hex += fmt::format("{:02x}", digest[n]);
    return hex;
}

json endpoint_operation(test_support::endpoint_description const& what)
{
    json entry{{"id", what.id},
               {"kind", what.service.empty() ? "engine" : "service"},
               {"labels", {{"zone", what.zone}}}};
    if (!what.service.empty())
        entry["service"] = what.service;
    return {{"op", "put_endpoint"}, {"endpoint", entry}};
}

void read_event(json const& event, chat_answer& out)
{
    if (event.contains("error"))
        out.error = event["error"];
    if (event.contains("usage"))
        out.usage = event["usage"];
    if (event.contains("choices"))
        out.text += event["choices"][0]["delta"].value("content", "");
}

void read_stream(std::string const& body, chat_answer& out)
{
    constexpr std::string_view prefix = "data: ";
    std::size_t begin = 0;
    for (auto end = body.find("\n\n"); end != std::string::npos;
         begin = end + 2, end = body.find("\n\n", begin))
    {
        auto const at = body.find(prefix, begin);
        if (at >= end)
            continue;
        auto const data =
            body.substr(at + prefix.size(), end - at - prefix.size());
        if (data == "[DONE]")
            out.done = true;
        else
            read_event(json::parse(data), out);
    }
}

json error_of(http_answer const& answer)
{
    auto const body = json::parse(answer.body, nullptr, false);
    return body.is_object() ? body.value("error", json()) : json();
}

std::string error_member(http_answer const& answer, char const* name)
{
    auto const error = error_of(answer);
    return error.is_object() ? error.value(name, "") : "";
}

} // namespace

test_support::endpoint_description engine(std::string id, std::string zone)
{
    test_support::endpoint_description what;
    what.id = std::move(id);
    what.zone = std::move(zone);
    what.options = {"--weights=review@1", "--token-interval-ms=2",
                    "--prefill-bytes-per-s=4000000"};
    return what;
}

test_support::endpoint_description gate(std::string id, std::string zone)
{
    test_support::endpoint_description what;
    what.id = std::move(id);
    what.zone = std::move(zone);
    what.service = "gate";
    return what;
}

test_support::deployment_description
quick_deployment(std::size_t routers,
                 std::vector<test_support::endpoint_description> endpoints)
{
    test_support::deployment_description what;
    what.routers = routers;
    what.endpoints = std::move(endpoints);
    what.router_settings["config"]["store_poll_interval_ms"] =
        std::int64_t{200};
    return what;
}

std::string api_key(std::size_t workspace)
{
    return fmt::format("key-of-workspace-{}", workspace);
}

json rule_operation(std::string const& endpoints)
{
    return {{"op", "put_rule"},
            {"rule",
             {{"id", "all"},
              {"order", 10},
              {"workspaces", ""},
              {"models", ""},
              {"endpoints", endpoints}}}};
}

json first_operations(test_support::deployment_description const& what,
                      std::size_t workspaces)
{
    json list = json::array();
    list.push_back({{"op", "put_service"},
                    {"service",
                     {{"id", "gate"},
                      {"labels", json::object()},
                      {"idempotent_operations",
                       {{{"method", "GET"}, {"path", "/holds/*"}}}}}}});
    for (auto const& it : what.endpoints)
        list.push_back(endpoint_operation(it));
    for (std::size_t n = 0; n < workspaces; ++n)
        list.push_back({{"op", "put_workspace"},
                        {"workspace",
                         {{"id", fmt::format("audit-{}", n)},
                          {"labels", json::object()},
                          {"key_hashes", {sha256_hex(api_key(n))}},
                          {"priority", 1}}}});
    list.push_back(
        {{"op", "put_model"},
         {"model",
          {{"id", model_name},
           {"versions", {{{"version", "1"}, {"labels", json::object()}}}}}}});
    list.push_back(rule_operation(""));
    return list;
}

std::string long_text(std::size_t blocks, std::string const& seed)
{
    constexpr std::size_t block_bytes = 1024;
    std::string text;
    for (std::size_t n = 0; text.size() < blocks * block_bytes; ++n)
        text += fmt::format("Rule {} of {}. ", n, seed);
    text.resize(blocks * block_bytes);
    return text;
}

json chat(std::string const& marker, bool stream, std::size_t tokens,
          std::string const& system)
{
    json messages = json::array();
    if (!system.empty())
        messages.push_back({{"role", "system"}, {"content", system}});
    messages.push_back(
        {{"role", "user"}, {"content", fmt::format("Review <<{}>>", marker)}});
    return {{"model", model_name},
            {"stream", stream},
            {"max_tokens", tokens},
            {"messages", messages}};
}

http_call chat_call(std::string const& router_url, json const& body,
                    std::size_t workspace)
{
    http_call call;
    call.method = "POST";
    call.url = router_url + "/v1/chat/completions";
    call.body = body.dump();
    call.headers["Authorization"] = "Bearer " + api_key(workspace);
    call.headers["Content-Type"] = "application/json";
    return call;
}

http_call check_call(std::string const& router_url, std::string const& pass,
                     std::string const& key)
{
    http_call call;
    call.method = "POST";
    call.url = router_url + "/services/gate/check";
    call.body = json{{"pass", pass}}.dump();
    call.headers["Authorization"] = "Bearer " + api_key(0);
    call.headers["Content-Type"] = "application/json";
    call.headers["Idempotency-Key"] = key;
    return call;
}

chat_answer read_chat(http_answer const& answer)
{
    chat_answer out;
    auto const type = answer.headers.find("content-type");
    if (type != answer.headers.end() &&
        type->second.rfind("text/event-stream", 0) == 0)
    {
        read_stream(answer.body, out);
        return out;
    }
    out.error = error_of(answer);
    auto const body = json::parse(answer.body, nullptr, false);
    if (!answer.complete || answer.status != 200 || !body.is_object())
        return out;
    out.text = body["choices"][0]["message"].value("content", "");
    out.usage = body.value("usage", json());
    out.done = true;
    return out;
}

bool is_right(http_answer const& answer, json const& body)
{
    auto const read = read_chat(answer);
    return answer.complete && answer.status == 200 && read.done &&
           read.error.is_null() && read.text == stand_ins::answer_text(body);
}

std::string describe(http_answer const& answer)
{
    return fmt::format("status {}, complete {}, {}, body {}", answer.status,
                       answer.complete, answer.failure, answer.body);
}

std::string run_of(http_answer const& answer)
{
    return error_member(answer, "run");
}

std::string code_of(http_answer const& answer)
{
    return error_member(answer, "code");
}

std::string endpoint_of(http_answer const& answer)
{
    auto const it = answer.headers.find("x-endiveward-endpoint");
    return it == answer.headers.end() ? "" : it->second;
}

std::uint64_t cached_bytes_of(http_answer const& answer)
{
    auto const it = answer.headers.find("x-endiveward-cached-bytes");
    return it == answer.headers.end() ? 0 : std::stoull(it->second);
}

bool wait_until_connected(test_support::deployment const& running,
                          std::size_t agents)
{
    auto const connected = [&](std::string const& url)
    {
        test_support::http_call call;
        call.url = url + "/metrics";
        call.headers["Authorization"] = "Bearer " + running.operator_token();
        auto const text = test_support::send(call).body;
        return text.find(fmt::format("\nendiveward_agent_connections {}\n",
                                     agents)) != std::string::npos;
    };
    for (std::size_t n = 0; n < running.router_count(); ++n)
        if (!test_support::wait_until(
                [&] { return connected(running.router_operators_url(n)); }))
            return false;
    return true;
}

} // namespace endiveward::e2e

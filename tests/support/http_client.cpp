#include "support/http_client.hpp"

#include <curl/curl.h>
#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <future>
#include <memory>

namespace endiveward::test_support
{

namespace
{

struct transfer
{
    http_call const& call;
    http_answer answer;
};

std::size_t take_body(char* data, std::size_t size, std::size_t n, void* user)
{
    auto& state = *static_cast<transfer*>(user);
    std::string_view const piece(data, size * n);
    state.answer.body += piece;
    if (state.call.on_data && !state.call.on_data(piece))
        return 0;
    return size * n;
}

std::size_t take_header(char* data, std::size_t size, std::size_t n, void* user)
{
    auto& state = *static_cast<transfer*>(user);
    std::string line(data, size * n);
    while (!line.empty() && (line.back() == '\n' || line.back() == '\r'))
        line.pop_back();
    auto const colon = line.find(':');
    if (colon == std::string::npos)
        return size * n;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char it) { return std::tolower(it); });
    auto const begin = line.find_first_not_of(' ', colon + 1);
    state.answer.headers[name] =
        begin == std::string::npos ? "" : line.substr(begin);
    return size * n;
}

void init_once()
{
    static CURLcode const initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    (void)initialized;
}

} // namespace

http_answer send(http_call const& call)
{
    init_once();
    std::unique_ptr<CURL, void (*)(CURL*)> const handle(curl_easy_init(),
                                                        curl_easy_cleanup);
    transfer state{call, {}};
    curl_slist* list = nullptr;
    // Without this libcurl waits for `100 Continue` before larger bodies.
    list = curl_slist_append(list, "Expect:");
    for (auto const& [name, value] : call.headers)
        list =
            curl_slist_append(list, fmt::format("{}: {}", name, value).c_str());
    CURL* const it = handle.get();
    curl_easy_setopt(it, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(it, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(it, CURLOPT_HTTPHEADER, list);
    curl_easy_setopt(it, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(it, CURLOPT_PROXY, "");
    curl_easy_setopt(it, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(call.timeout.count()));
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT")
    {
        curl_easy_setopt(it, CURLOPT_POSTFIELDS, call.body.c_str());
        curl_easy_setopt(it, CURLOPT_POSTFIELDSIZE,
                         static_cast<long>(call.body.size()));
    }
    curl_easy_setopt(it, CURLOPT_WRITEFUNCTION, take_body);
    curl_easy_setopt(it, CURLOPT_WRITEDATA, &state);
    curl_easy_setopt(it, CURLOPT_HEADERFUNCTION, take_header);
    curl_easy_setopt(it, CURLOPT_HEADERDATA, &state);
    CURLcode const outcome = curl_easy_perform(it);
    curl_slist_free_all(list);
    curl_easy_getinfo(it, CURLINFO_RESPONSE_CODE, &state.answer.status);
    state.answer.complete = outcome == CURLE_OK;
    if (outcome != CURLE_OK)
        state.answer.failure = curl_easy_strerror(outcome);
    return std::move(state.answer);
}

std::vector<http_answer> send_all(std::vector<http_call> const& calls)
{
    init_once();
    std::vector<std::future<http_answer>> running;
    running.reserve(calls.size());
    for (auto const& call : calls)
        running.push_back(
            std::async(std::launch::async, [&call] { return send(call); }));
    std::vector<http_answer> answers;
    answers.reserve(calls.size());
    for (auto& it : running)
        answers.push_back(it.get());
    return answers;
}

http_answer get(std::string const& url)
{
    http_call call;
    call.url = url;
    return send(call);
}

http_answer post(std::string const& url, std::string const& body)
{
    http_call call;
    call.method = "POST";
    call.url = url;
    call.body = body;
    return send(call);
}

} // namespace endiveward::test_support

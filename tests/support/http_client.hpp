#ifndef ENDIVEWARD_TEST_SUPPORT_HTTP_CLIENT_HPP
#define ENDIVEWARD_TEST_SUPPORT_HTTP_CLIENT_HPP

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace endiveward::test_support
{

struct http_call
{
    std::string method = "GET";
    std::string url;
    std::string body;
    std::map<std::string, std::string> headers;
    std::chrono::milliseconds timeout{60'000};
    /// Called for each piece of the body as it arrives; false ends the call.
    std::function<bool(std::string_view)> on_data;
};

struct http_answer
{
    /// Whether a complete answer arrived.
    bool complete = false;
    /// 0 if no answer began.
    long status = 0;
    std::string body;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    /// libcurl's message if the answer is not complete.
    std::string failure;
};

/// Makes a call on a connection of its own.
http_answer send(http_call const& call);

/// Makes calls at the same time; answers are in the order of the calls.
std::vector<http_answer> send_all(std::vector<http_call> const& calls);

http_answer get(std::string const& url);
http_answer post(std::string const& url, std::string const& body);

} // namespace endiveward::test_support

#endif

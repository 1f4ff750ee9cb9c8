#include "service/plain_service.hpp"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <thread>

namespace endiveward::stand_ins
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

void send_json(i_http_reply& reply, int status, json const& body)
{
    reply.send(status, body.dump(), {});
}

} // namespace

plain_service::plain_service(milliseconds delay)
    : delay_ms_(delay.count())
{
}

void plain_service::handle(http_request const& req, i_http_reply& reply)
{
    if (req.path.rfind("/admin/", 0) == 0)
        return admin(req, reply);
    freeze_.pass();
    if (req.path == "/check" && req.method == "POST")
        return check(req, reply);
    if (req.path.rfind("/holds/", 0) == 0 && req.method == "GET")
        return hold(req, reply);
    send_json(reply, 404, {{"error", "no such operation: " + req.path}});
}

void plain_service::check(http_request const& req, i_http_reply& reply)
{
    std::string const pass = json::parse(req.body).at("pass");
    std::uint64_t execution = 0;
    {
        std::lock_guard const lock(mutex_);
        execution = executions_.add(pass, req.header("x-request-id"));
    }
    if (crash_on_start_)
        std::_Exit(EXIT_FAILURE);
    std::this_thread::sleep_for(milliseconds(delay_ms_));
    freeze_.pass();
    if (answers_to_break_ > 0)
    {
        --answers_to_break_;
        return reply.break_connection();
    }
    send_json(reply, 200,
              {{"pass", pass}, {"admitted", true}, {"execution", execution}});
}

void plain_service::hold(http_request const& req, i_http_reply& reply)
{
    {
        std::lock_guard const lock(mutex_);
        ++hold_reads_;
    }
    std::this_thread::sleep_for(milliseconds(delay_ms_));
    std::string const id = req.path.substr(std::string_view("/holds/").size());
    send_json(reply, 200, {{"id", id}, {"held", false}});
}

void plain_service::admin(http_request const& req, i_http_reply& reply)
{
    std::string const what =
        req.path.substr(std::string_view("/admin/").size());
    if (what == "stats")
        return stats(reply);
    json const body = req.body.empty() ? json::object() : json::parse(req.body);
    if (what == "crash")
        std::_Exit(EXIT_FAILURE);
    else if (what == "crash_on_start")
        crash_on_start_ = true;
    else if (what == "freeze")
        freeze_.freeze_for(milliseconds(body.at("ms").get<std::int64_t>()));
    else if (what == "delay")
        delay_ms_ = body.at("ms").get<std::int64_t>();
    else if (what == "break_connection")
        answers_to_break_ = body.value("times", std::int64_t{1});
    else
        return send_json(reply, 404, {{"error", "no such switch: " + what}});
    send_json(reply, 200, json::object());
}

void plain_service::stats(i_http_reply& reply)
{
    std::lock_guard const lock(mutex_);
    send_json(reply, 200,
              {{"executions", executions_.total()},
               {"executions_by_pass", executions_.by_pass()},
               {"executions_by_request", executions_.by_request()},
               {"hold_reads", hold_reads_}});
}

} // namespace endiveward::stand_ins

#ifndef REVIEW_STAND_INS_CLIENT_HPP
#define REVIEW_STAND_INS_CLIENT_HPP

#include "deployment.h"

namespace review
{

/// How an attempt ended, as the consumer sees it.
struct attempt_result
{
    read_result how = read_result::closed;
    int status = 0;
    message answer;
    /// Since its last byte was sent.
    milliseconds took{0};
};

inline std::string describe(attempt_result const& it)
{
    auto const after = " after " + std::to_string(it.took.count()) + " ms";
    switch (it.how)
    {
    case read_result::complete:
        return "status " + std::to_string(it.status) + after;
    case read_result::closed:
        return "channel closed without an answer" + after;
    case read_result::cut:
        return "answer cut" + after;
    case read_result::timeout:
        return "no answer within the time budget" + after;
    }
    return {};
}

/// Sends one request on a channel and waits for its answer.
inline attempt_result send_request(record& log, channel& conn,
                                   std::string const& method,
                                   std::string const& path, headers fields,
                                   std::string const& body, milliseconds budget)
{
    fields.emplace_back("Deadline-Ms", std::to_string(budget.count()));
    auto const id = value_or(fields, "Attempt-Id");
    attempt_result res;
    auto const sent = conn.write(
        make_message(method + " " + path + " HTTP/1.1", fields, body));
    auto const start = steady::now();
    log.line("consumer sent %s%s", id.c_str(), sent ? "" : ", not whole");
    res.how = read_message(conn, res.answer, start + budget);
    res.status = res.answer.status();
    res.took = std::chrono::duration_cast<milliseconds>(steady::now() - start);
    log.line("consumer of %s: %s", id.c_str(), describe(res).c_str());
    return res;
}

} // namespace review

#endif

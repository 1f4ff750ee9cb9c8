#include "explain/request_story.hpp"

#include "kernel/parse_number.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>

namespace endiveward::explain
{

namespace
{

using std::chrono::milliseconds;

/// What happened this long before a request may explain how it ended: a
/// router forgets failures of an endpoint within about this time.
constexpr milliseconds context_before{5000};
/// Lines of an agent may be written somewhat after those of a router.
constexpr milliseconds context_after{500};

/// Lines that are many and tell nothing of other requests.
bool is_routine(std::string const& event)
{
    return event == "sent" || event == "completed" || event == "answered" ||
           event == "gave_up" || event == "caller_gone" ||
           event == "overloaded" || event == "waits_for_capacity" ||
           event == "waited";
}

/// Lines that tell of the process that wrote them, not of an endpoint.
bool is_of_process(std::string const& event)
{
    constexpr std::array events{
        "start",         "stop",           "stopping",
        "reload",        "store_contact",  "configuration_in_force",
        "weights_named", "lines_left_out", "listeners_closed"};
    return std::find(events.begin(), events.end(), event) != events.end();
}

/// Whether a refusal has this reason because no endpoint could be used.
bool is_without_endpoint(std::string const& reason)
{
    return reason == "no_endpoint" || reason == "no_service" ||
           reason.starts_with("endpoints_");
}

std::int64_t number(log_record const& it, std::string const& field)
{
    return kernel::parse_number<std::int64_t>(it.value(field)).value_or(0);
}

bool earlier(log_record const& a, log_record const& b)
{
    return a.time < b.time;
}

} // namespace

request_story::request_story(std::string request_id)
    : id_(std::move(request_id))
{
}

void request_story::add(log_record record)
{
    if (record.value("id") == id_)
    {
        auto const later =
            std::upper_bound(own_.begin(), own_.end(), record, earlier);
        own_.insert(later, std::move(record));
    }
    else if (!is_routine(record.event))
        others_.push_back(std::move(record));
}

std::set<std::string> request_story::endpoints() const
{
    std::set<std::string> res;
    for (auto const& it : own_)
    {
        if (auto name = it.value("endpoint"); !name.empty())
            res.insert(std::move(name));
    }
    return res;
}

bool request_story::is_related(log_record const& it,
                               std::set<std::string> const& endpoints) const
{
    if (refused_without_endpoint() && excludes_endpoint(it))
        return true;
    if (suspects_own_key(it))
        return true;
    if (it.time < own_.front().time - context_before ||
        it.time > own_.back().time + context_after)
        return false;
    if (endpoints.contains(it.value("endpoint")))
        return true;
    return is_of_process(it.event) &&
           std::any_of(own_.begin(), own_.end(),
                       [&](log_record const& mine)
                       { return mine.process == it.process; });
}

std::vector<log_record> request_story::lines() const
{
    auto res = own_;
    if (res.empty())
        return res;
    auto const names = endpoints();
    std::copy_if(others_.begin(), others_.end(), std::back_inserter(res),
                 [&](log_record const& it) { return is_related(it, names); });
    std::stable_sort(res.begin(), res.end(), earlier);
    return res;
}

log_record const* request_story::last_of(std::string const& event) const
{
    auto const found =
        std::find_if(own_.rbegin(), own_.rend(),
                     [&](log_record const& it) { return it.event == event; });
    return found == own_.rend() ? nullptr : &*found;
}

/// The last line of the request with this event; one without fields if that
/// line was left out.
log_record request_story::last_or_empty(std::string const& event) const
{
    auto const* const found = last_of(event);
    return found != nullptr ? *found : log_record();
}

/// Names what else went wrong at an endpoint around the request.
std::string request_story::trouble_at(std::string const& endpoint) const
{
    std::map<std::string, std::size_t> counts;
    for (auto const& it : others_)
    {
        if (it.value("endpoint") == endpoint && is_related(it, {endpoint}) &&
            it.event != "endpoint_entry" && it.event != "turn_planned")
            ++counts[it.event];
    }
    std::string res;
    for (auto const& [event, n] : counts)
        res += fmt::format("{}{} {}", res.empty() ? "" : ", ", n, event);
    return res.empty() ? "nothing else is logged of it" : "also logged: " + res;
}

verdict request_story::explain() const
{
    if (own_.empty())
        return explain_absence();
    auto const& last = own_.back();
    if (last.event == "caller_gone")
        return {"caller_gone",
                fmt::format("the caller closed its connection after {} ms",
                            last.value("took_ms")),
                "compare with the caller's own time limit; `sent` tells the "
                "expected wait"};
    if (last.event == "cut")
        return explain_failure(last.value("reason"));
    if (last.event == "gave_up")
        return last.value("status") == "503"
                   ? explain_refusal(last)
                   : explain_failure(last.value("reason"));
    if (last.event == "answered" || last.event == "completed")
        return explain_answer(last);
    return {"in_progress",
            fmt::format("the last line is `{}`; the request has not ended in "
                        "these logs",
                        last.event),
            "read later logs of the same process; if they begin with `start`, "
            "the process was killed with the request"};
}

verdict request_story::explain_absence() const
{
    auto const left_out = std::any_of(others_.begin(), others_.end(),
                                      [](log_record const& it)
                                      { return it.event == "lines_left_out"; });
    if (left_out)
        return {"left_out",
                "no line has this id, and some process left lines out",
                "look at `lines_left_out` of the router at the time of the "
                "request"};
    return {"not_seen", "no line has this id",
            "read the logs of all routers of the caller's zone; if no one has "
            "it, the request did not reach endiveward"};
}

verdict request_story::explain_refusal(log_record const& last) const
{
    auto const reason = last.value("reason");
    if (reason == "overloaded" || reason == "room_full")
        return explain_overload();
    if (reason == "refused_by_endpoint")
        return explain_endpoint_refusal();
    if (reason == "no_configuration")
        return {"no_configuration",
                "the process had not read a configuration yet",
                "look at its `start` and `store_contact`"};
    if (reason == "stopping")
        return {"stopping", "the process was being stopped",
                "none; callers come back to another process"};
    if (is_without_endpoint(reason))
        return explain_no_endpoint(reason);
    if (reason == "part_quarantined" || reason == "request_quarantined")
        return explain_quarantine(reason);
    if (reason == "stream_origin_unknown" || reason == "stream_service_gone" ||
        reason == "software_version_gone")
        return explain_resumption(reason);
    return explain_failure(reason);
}

/// The caller takes up a stream that cannot go on.
verdict request_story::explain_resumption(std::string const& reason) const
{
    auto const located = last_or_empty("stream_located");
    auto const begun_by = located.value("resumes");
    if (reason == "stream_origin_unknown" &&
        located.value("history_complete") == "false")
        return {reason,
                fmt::format("it takes up the stream of request {}, of which no "
                            "agent knows; the router does not know all "
                            "software versions that the service has had since "
                            "the stream can have begun",
                            begun_by),
                "look for `versions_read` and `versions_call_failed` of this "
                "router: it could not read or write the versions in the store, "
                "or they are recorded since a short time only"};
    if (reason == "stream_origin_unknown")
        return {reason,
                fmt::format("it takes up the stream of request {}, which may "
                            "have begun at any of the software versions {}; no "
                            "agent knows at which (answered: {}, connected: "
                            "{})",
                            begun_by, located.value("versions"),
                            located.value("agents_answered"),
                            located.value("linked")),
                "find the router that has `sent` with the id of that request: "
                "it ended, or reached no agent, before it could tell"};
    if (reason == "stream_service_gone")
        return {reason,
                fmt::format("it takes up the stream of request {}, which began "
                            "at service {}; its route sends requests elsewhere "
                            "now",
                            begun_by, located.value("service")),
                "look at `configuration_in_force` since the stream began"};
    return {reason,
            fmt::format("it takes up the stream of request {}, which began at "
                        "software version {}; no endpoint with it is listed",
                        begun_by, located.value("software")),
            "`endpoint_removed` and `endpoint_entry` tell when the last one "
            "went; keep some until their streams have ended"};
}

verdict request_story::explain_quarantine(std::string const& reason) const
{
    std::set<std::string> endpoints;
    for (auto const* lines : {&own_, &others_})
    {
        for (auto const& it : *lines)
        {
            if (suspects_own_key(it))
                endpoints.insert(it.value("endpoint"));
        }
    }
    endpoints.erase("");
    auto const list = fmt::format("{}{}", endpoints.empty() ? "" : ": ",
                                  fmt::join(endpoints, ", "));
    auto const left = last_or_empty(reason).value("left_ms");
    if (reason == "request_quarantined")
        return {reason,
                fmt::format("this request, which has come before, has probably "
                            "crashed endpoints{}; it is refused for another "
                            "{} ms",
                            list, left),
                "find in all routers' logs the `request_suspected` lines with "
                "the `request` that `request_quarantined` names, and the "
                "`sent` lines with it"};
    return {reason,
            fmt::format("a part of the prompt has probably crashed endpoints"
                        "{}; requests with it are refused for another {} ms",
                        list, left),
            "find in all routers' logs the `part_suspected` lines of the parts "
            "that `part_quarantined` names, and the requests that they name"};
}

/// Whether the line suspects the request, or one of the parts for which it was
/// refused.
bool request_story::suspects_own_key(log_record const& it) const
{
    if (it.event == "request_suspected")
        return it.value("request") ==
               last_or_empty("request_quarantined").value("request");
    if (it.event != "part_suspected")
        return false;
    auto const parts =
        fmt::format(",{},", last_or_empty("part_quarantined").value("parts"));
    return parts.find(fmt::format(",{},", it.value("part"))) !=
           std::string::npos;
}

verdict request_story::explain_no_endpoint(std::string const& reason) const
{
    if (reason == "endpoints_loading")
        return {"endpoints_loading",
                "all engines were loading weights, or had weights that were "
                "too old",
                "compare `engine_state` and `turn_planned` with the time at "
                "which the newest weights were named"};
    if (reason == "endpoints_tried")
        return last_of("refused_by_endpoint") != nullptr
                   ? explain_endpoint_refusal()
                   : explain_failure(reason);
    if (reason == "endpoints_limited")
        return {"endpoints_limited",
                fmt::format("all endpoints of the service got as many requests "
                            "as they take; limits: {}",
                            excluded_endpoints("endpoint_limit")),
                "`sent` of all routers with these endpoints counts against "
                "`per_second` of `endpoint_limit`; find out why the endpoints "
                "are in need, or add some"};
    auto const paused = excluded_endpoints("endpoint_paused");
    auto const leaving = excluded_endpoints("endpoint_leaving");
    if (!paused.empty())
        return {"endpoints_paused",
                fmt::format("no endpoint of the service could be used; paused "
                            "at this router with Retry-After: {}{}{}",
                            paused,
                            leaving.empty() ? "" : "; leaving: ", leaving),
                "endpoints ask for a pause when they are full: compare "
                "`requested_ms` of `endpoint_paused` with the load and the "
                "number of endpoints"};
    if (!leaving.empty())
        return {"endpoints_leaving",
                fmt::format("no endpoint of the service could be used; "
                            "leaving: {}",
                            leaving),
                "look for `endpoint_entry` of their replacements, and whether "
                "the store was in contact"};
    return {
        "no_endpoint",
        fmt::format("no endpoint of the service could be used ({})", reason),
        "look for `endpoint_removed`, `connect_failed` and `failed` in "
        "the seconds before"};
}

/// Whether the request was refused because no endpoint could take it.
bool request_story::refused_without_endpoint() const
{
    if (own_.empty())
        return false;
    auto const& last = own_.back();
    return last.event == "gave_up" && last.value("status") == "503" &&
           is_without_endpoint(last.value("reason"));
}

/// Whether the line of the request's router excluded an endpoint until the end
/// of the request. An endpoint that is leaving is excluded until its entry is
/// removed.
bool request_story::excludes_endpoint(log_record const& it) const
{
    auto const& last = own_.back();
    if (it.process != last.process || it.time > last.time)
        return false;
    if (it.event == "endpoint_paused")
        return it.time + milliseconds(number(it, "until_ms")) >= last.time;
    auto const limits =
        it.event == "endpoint_limit" && it.value("ended") == "false";
    if (it.event != "endpoint_leaving" && !limits)
        return false;
    return std::none_of(
        others_.begin(), others_.end(),
        [&](log_record const& other)
        {
            auto const ends = other.event == "endpoint_removed" ||
                              (limits && other.event == "endpoint_limit" &&
                               other.value("ended") == "true");
            return ends && other.process == it.process &&
                   other.value("endpoint") == it.value("endpoint") &&
                   other.time >= it.time && other.time <= last.time;
        });
}

/// Names the endpoints that such lines excluded; of a pause, also how long it
/// still lasted.
std::string request_story::excluded_endpoints(std::string const& event) const
{
    std::map<std::string, std::string> texts;
    for (auto const& it : others_)
    {
        if (it.event != event || !excludes_endpoint(it))
            continue;
        auto const name = it.value("endpoint");
        texts[name] = name;
        if (event == "endpoint_limit")
            texts[name] =
                fmt::format("{} ({} a second)", name, it.value("per_second"));
        if (event != "endpoint_paused")
            continue;
        auto const until = it.time + milliseconds(number(it, "until_ms"));
        texts[name] = fmt::format("{} (for another {} ms)", name,
                                  (until - own_.back().time).count());
    }
    std::string res;
    for (auto const& [name, text] : texts)
        res += fmt::format("{}{}", res.empty() ? "" : ", ", text);
    return res;
}

verdict request_story::explain_overload() const
{
    auto const why = last_or_empty("overloaded");
    if (why.value("fits") == "false")
        return {"overloaded",
                fmt::format("no engine had memory for it; it was held for {} "
                            "ms, and capacity was expected in {} ms",
                            why.value("held_ms"), why.value("capacity_in_ms")),
                "compare the number of engines in use with the load; look for "
                "long prompts at the same time"};
    return {"overloaded",
            fmt::format("all engines were busy: the best one, {}, was expected "
                        "to begin in {} ms; the limit is {} ms for a target of "
                        "{} ms",
                        why.value("endpoint"), why.value("wait_ms"),
                        why.value("limit_ms"), why.value("target_ms")),
            "compare the number of engines in use with the load; engines that "
            "take new weights show as `engine_state`"};
}

verdict request_story::explain_endpoint_refusal() const
{
    auto const why = last_or_empty("refused_by_endpoint");
    auto const endpoint = why.value("endpoint");
    auto const instance = why.value("instance");
    if (!instance.empty() && instance != endpoint)
        return {"endpoint_replaced",
                fmt::format("at the address of endpoint {} answers {}: it has "
                            "restarted or ended, which the router did not know "
                            "yet; {}",
                            endpoint, instance, trouble_at(endpoint)),
                "look for `endpoint_removed` and `endpoint_entry` of both, and "
                "whether the store was in contact"};
    return {"refused_by_endpoint",
            fmt::format("endpoint {} refused it with {} (version asked for {}, "
                        "version there {}); {}",
                        endpoint, why.value("status"),
                        why.value("asked_version"), why.value("has_version"),
                        trouble_at(endpoint)),
            "421 with versions that differ: the rollout of weights; 503: the "
            "engine was full or took new weights"};
}

verdict request_story::explain_failure(std::string const& reason) const
{
    if (reason == "expired")
        return {"expired", "its time was over before an endpoint answered",
                "compare `left_ms` and `expect_ms` of `sent`"};
    auto const* why = last_of("failed");
    if (auto const* const refused = last_of("connect_failed");
        why == nullptr && refused != nullptr)
        why = refused;
    if (why == nullptr)
        return {reason.empty() ? "unknown" : reason,
                fmt::format("it ended with the reason `{}`", reason),
                "see the list of reasons in OPERATIONS.md"};
    auto const endpoint = why->value("endpoint");
    auto const trouble = trouble_at(endpoint);
    return {"endpoint_failed",
            fmt::format("endpoint {} gave no complete answer ({}); {}",
                        endpoint,
                        why->event == "connect_failed" ? "no connection"
                                                       : why->value("reason"),
                        trouble),
            "if other requests failed there, or its entry or link went at "
            "that time, the endpoint or its VM was lost"};
}

verdict request_story::explain_answer(log_record const& last) const
{
    auto const took = number(last, "took_ms");
    auto const attempts =
        std::count_if(own_.begin(), own_.end(),
                      [](log_record const& it) { return it.event == "sent"; });
    if (attempts > 1)
        return {"repeated",
                fmt::format("it was answered after {} ms in attempt {}; the "
                            "time went into the attempts before",
                            took, attempts),
                "look at the lines between `sent` and `sent`"};
    auto const* const sent = last_of("sent");
    auto const expected = sent != nullptr ? number(*sent, "expect_ms") : 0;
    return {"answered",
            fmt::format("it was answered after {} ms; its first event was "
                        "expected after {} ms",
                        took, expected),
            "an expected wait that is long: engines were busy (`in_flight`); "
            "a short one: the engine was slower than its reports, see "
            "`source` for where a prefix was fetched from"};
}

} // namespace endiveward::explain

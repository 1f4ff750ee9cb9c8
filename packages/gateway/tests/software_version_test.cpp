#include "gateway/tests/support/scripted_endpoint.hpp"
#include "gateway/tests/support/test_caller.hpp"
#include "gateway/tests/support/test_gateway.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace endiveward::gateway
{

namespace
{

constexpr int streams = 20;
constexpr int last_event = 5;
/// A reset may overtake events that have not been read.
constexpr std::chrono::milliseconds short_pause{20};
/// Callers leave long before an endpoint breaks their stream off.
constexpr std::chrono::milliseconds long_pause{300};

/// Which software versions have written events of each stream.
class version_record
{
public:
    void add(std::string const& stream, std::string const& version)
    {
        std::lock_guard const lock(mutex_);
        versions_[stream].insert(version);
    }

    /// Number of streams that more than one version has written to.
    int mixed() const
    {
        std::lock_guard const lock(mutex_);
        int res = 0;
        for (auto const& [stream, versions] : versions_)
            res += versions.size() > 1 ? 1 : 0;
        return res;
    }

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::set<std::string>> versions_;
};

/// A stream is named by the request that began it.
std::string stream_of(http_request const& request)
{
    auto const begun_by = request.headers.value_or("X-Resumes", "");
    return std::string(begun_by.empty() ? request.headers.value_or("X-Id", "")
                                        : begun_by);
}

/// An endpoint that breaks each new stream off some time after event 2 and
/// completes resumed ones.
scripted_endpoint::script
break_new_streams(version_record& record, std::string version,
                  std::chrono::milliseconds pause = short_pause)
{
    return [&record, version = std::move(version),
            pause](http_request const& request, scripted_connection& conn)
    {
        record.add(stream_of(request), version);
        auto const after = request.headers.value_or("X-Last-Event", "");
        conn.begin_stream(request);
        if (after.empty())
        {
            conn.event(1);
            conn.event(2);
            conn.wait(pause);
            conn.reset();
            return false;
        }
        for (int n = std::stoi(std::string(after)) + 1; n <= last_event; ++n)
            conn.event(n);
        conn.end_stream();
        return true;
    };
}

endpoint_entry entry(std::size_t number, std::uint16_t port,
                     std::string const& version)
{
    auto res = test_gateway::entry(number, port);
    res.software = kernel::software_version(version);
    return res;
}

/// Begins a stream and reads up to event 2.
std::unique_ptr<test_caller> begin_stream(test_gateway& gate,
                                          std::string const& id)
{
    auto res = std::make_unique<test_caller>(gate.port());
    res->send(get_request("/resume/", id));
    REQUIRE(res->read_until("id: 2\n").find("id: 2\n") != std::string::npos);
    return res;
}

/// Takes the stream up after event 2 and returns the whole answer.
std::string take_up(test_gateway& gate, std::string const& stream)
{
    test_caller caller(gate.port());
    caller.send(get_request("/resume/", stream + "-again",
                            "X-Last-Event: 2\r\nX-Resumes: " + stream +
                                "\r\nConnection: close\r\n"));
    return caller.read_all();
}

} // namespace

// Guards against streams that hold events of two software versions, which do
// not fit together.
TEST_CASE("a broken stream is resumed at the software version that began it")
{
    version_record record;
    scripted_endpoint old_one(break_new_streams(record, "v1"));
    scripted_endpoint old_two(break_new_streams(record, "v1"));
    scripted_endpoint new_one(break_new_streams(record, "v2"));
    scripted_endpoint new_two(break_new_streams(record, "v2"));
    test_gateway gate;
    gate.apply();
    gate.set_entries(
        {entry(0, old_one.port(), "v1"), entry(1, old_two.port(), "v1"),
         entry(2, new_one.port(), "v2"), entry(3, new_two.port(), "v2")});
    int complete = 0;
    for (int n = 0; n < streams; ++n)
    {
        test_caller caller(gate.port());
        caller.send(get_request("/resume/", "id" + std::to_string(n)));
        complete += caller.read_until("0\r\n\r\n").ends_with("0\r\n\r\n");
    }
    CHECK(record.mixed() == 0);
    CHECK(complete == streams);
}

TEST_CASE("a broken stream is cut if no other endpoint has its software "
          "version")
{
    version_record record;
    scripted_endpoint old_one(break_new_streams(record, "v1"));
    scripted_endpoint new_one(break_new_streams(record, "v2"));
    test_gateway gate;
    gate.apply();
    gate.set_entries(
        {entry(0, old_one.port(), "v1"), entry(1, new_one.port(), "v2")});
    test_caller caller(gate.port());
    caller.send(get_request("/resume/", "id1"));
    auto const text = caller.read_until("0\r\n\r\n");
    CHECK(caller.ended());
    CHECK(text.find("id: 3\n") == std::string::npos);
    CHECK(old_one.requests() + new_one.requests() == 1);
}

// Guards against events of two software versions if an endpoint restarts under
// its id before the router learns of it.
TEST_CASE("a stream during which its endpoint changes its software version is "
          "not resumed")
{
    std::promise<void> changed;
    auto const seen = changed.get_future().share();
    auto const serve =
        [&](http_request const& request, scripted_connection& conn)
    {
        conn.begin_stream(request);
        conn.event(1);
        seen.wait_for(std::chrono::seconds(20));
        conn.event(2);
        conn.wait(short_pause);
        conn.reset();
        return false;
    };
    scripted_endpoint one(serve);
    scripted_endpoint two(serve);
    scripted_endpoint three(serve);
    test_gateway gate;
    gate.apply();
    gate.set_entries({entry(0, one.port(), "v1")});
    test_caller caller(gate.port());
    caller.send(get_request("/resume/", "id1"));
    caller.read_until("id: 1\n");
    auto restarted = entry(0, one.port(), "v2");
    restarted.incarnation = 1;
    gate.set_entries(
        {restarted, entry(1, two.port(), "v1"), entry(2, three.port(), "v2")});
    changed.set_value();
    auto const text = caller.read_all();
    CHECK(text.find("id: 2\n") != std::string::npos);
    CHECK(one.requests() + two.requests() + three.requests() == 1);
}

// As above, for streams that their callers take up.
TEST_CASE("a stream that a caller takes up goes on at the software version "
          "that began it")
{
    version_record record;
    scripted_endpoint old_one(break_new_streams(record, "v1", long_pause));
    scripted_endpoint new_one(break_new_streams(record, "v2", long_pause));
    test_gateway gate;
    gate.apply();
    gate.set_entries(
        {entry(0, old_one.port(), "v1"), entry(1, new_one.port(), "v2")});
    int complete = 0;
    for (int n = 0; n < streams; ++n)
    {
        auto const id = "id" + std::to_string(n);
        // While the first connection is open, its endpoint has more load than
        // the other one.
        auto const first = begin_stream(gate, id);
        complete += take_up(gate, id).ends_with("0\r\n\r\n");
    }
    CHECK(record.mixed() == 0);
    CHECK(complete == streams);
}

TEST_CASE("a stream of which no process knows the software version is refused "
          "while several serve")
{
    version_record record;
    scripted_endpoint old_one(break_new_streams(record, "v1", long_pause));
    scripted_endpoint new_one(break_new_streams(record, "v2", long_pause));
    test_gateway gate;
    gate.apply();
    gate.set_entries(
        {entry(0, old_one.port(), "v1"), entry(1, new_one.port(), "v2")});
    auto const text = take_up(gate, "unknown");
    CHECK(text.starts_with("HTTP/1.1 503"));
    CHECK(text.find("Retry-After: ") != std::string::npos);
    CHECK(old_one.requests() + new_one.requests() == 0);
}

// Guards against a resumption at an endpoint that has been replaced at its
// address, or has restarted under its id, with other software.
TEST_CASE(
    "a stream does not go on at an endpoint that has changed its software "
    "version")
{
    version_record record;
    scripted_endpoint endpoint(break_new_streams(record, "v1", long_pause));
    test_gateway gate;
    gate.apply();
    gate.set_entries({entry(0, endpoint.port(), "v1")});
    begin_stream(gate, "id1");
    auto const number = GENERATE(0, 1);
    auto changed =
        entry(static_cast<std::size_t>(number), endpoint.port(), "v2");
    changed.incarnation = 1;
    gate.set_entries({changed});
    auto const text = take_up(gate, "id1");
    CHECK(text.starts_with("HTTP/1.1 503"));
    CHECK(endpoint.requests() == 1);
}

} // namespace endiveward::gateway

#ifndef ENDIVEWARD_GATEWAY_TESTS_VERSIONED_STREAMS_HPP
#define ENDIVEWARD_GATEWAY_TESTS_VERSIONED_STREAMS_HPP

#include "gateway/tests/support/scripted_endpoint.hpp"
#include "gateway/tests/support/test_caller.hpp"
#include "gateway/tests/support/test_gateway.hpp"
#include "kernel/system_clock.hpp"
#include "resumption/origin_table.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace endiveward::gateway::tests
{

inline constexpr int streams = 20;
inline constexpr int last_event = 5;
/// A reset may overtake events that have not been read.
inline constexpr std::chrono::milliseconds short_pause{20};
/// Callers leave long before an endpoint breaks their stream off.
inline constexpr std::chrono::milliseconds long_pause{300};

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

/// The agents of a deployment in one, as routers see them.
class origin_keeper
{
public:
    void connect(test_gateway& gate)
    {
        gate.run(
            [&]
            {
                gate.get().set_origin_handlers(
                    [this](wire::stream_origins const& news)
                    {
                        std::lock_guard const lock(mutex_);
                        reports_ += news.origins.size();
                        for (auto const& it : news.origins)
                            table_.add(it, clock_.now());
                    },
                    [this, &gate](wire::origin_query const& query) {
                        gate.post([this, &gate, query]
                                  { answer(gate, query); });
                    });
            });
    }

    /// From now on agents are connected but do not answer.
    void fall_silent() { silent_ = true; }
    std::size_t reports() const
    {
        std::lock_guard const lock(mutex_);
        return reports_;
    }

    void answer(test_gateway& gate, wire::origin_query const& query)
    {
        gate.get().on_origin_asked(query.id, 1, true);
        if (silent_)
            return;
        std::lock_guard const lock(mutex_);
        auto const now = clock_.now();
        gate.get().on_origin_answer({query.id, table_.find(query.stream, now),
                                     table_.versions_of(query.service, now)});
    }

private:
    kernel::system_clock clock_;
    mutable std::mutex mutex_;
    resumption::origin_table table_;
    std::size_t reports_ = 0;
    std::atomic<bool> silent_{false};
};

/// A stream is named by the request that began it.
inline std::string stream_of(http_request const& request)
{
    auto const begun_by = request.headers.value_or("X-Resumes", "");
    return std::string(begun_by.empty() ? request.headers.value_or("X-Id", "")
                                        : begun_by);
}

/// An endpoint that breaks each new stream off some time after event 2 and
/// completes resumed ones.
inline scripted_endpoint::script
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

inline endpoint_entry entry(std::size_t number, std::uint16_t port,
                            std::string const& version)
{
    auto res = test_gateway::entry(number, port);
    res.software = kernel::software_version(version);
    return res;
}

/// Two endpoints, one of each software version, whose new streams break off.
struct two_versions
{
    two_versions()
        : old_one(break_new_streams(record, "v1", long_pause))
        , new_one(break_new_streams(record, "v2", long_pause))
    {
    }

    std::vector<endpoint_entry> entries() const
    {
        return {entry(0, old_one.port(), "v1"), entry(1, new_one.port(), "v2")};
    }

    int requests() const { return old_one.requests() + new_one.requests(); }

    version_record record;
    scripted_endpoint old_one;
    scripted_endpoint new_one;
};

/// Begins a stream and reads up to event 2.
inline std::unique_ptr<test_caller> begin_stream(test_gateway& gate,
                                                 std::string const& id)
{
    auto res = std::make_unique<test_caller>(gate.port());
    res->send(get_request("/resume/", id));
    REQUIRE(res->read_until("id: 2\n").find("id: 2\n") != std::string::npos);
    return res;
}

/// Takes the stream up after event 2 and returns the whole answer.
inline std::string take_up(test_gateway& gate, std::string const& stream)
{
    test_caller caller(gate.port());
    caller.send(get_request("/resume/", stream + "-again",
                            "X-Last-Event: 2\r\nX-Resumes: " + stream +
                                "\r\nConnection: close\r\n"));
    return caller.read_all();
}

} // namespace endiveward::gateway::tests

#endif

#include "admission/admission_queue.hpp"

#include "admission/types/queue_refusal.hpp"

#include "kernel/manual_clock.hpp"

#include <catch2/catch.hpp>

namespace endiveward::admission
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class queue_fixture
{
public:
    admission_request request(std::uint64_t id, std::uint8_t priority = 1,
                              milliseconds time_left = seconds(60),
                              milliseconds service = milliseconds(1000))
    {
        return {id, priority, clock.now() + time_left, service};
    }

    kernel::error refusal(admission_request const& call)
    {
        auto const res = queue.submit(call);
        REQUIRE_FALSE(kernel::ok(res));
        return kernel::failure(res);
    }

    kernel::manual_clock clock;
    admission_queue queue{clock, 4};
};

} // namespace

// Guards against sending the engine more calls than it can run concurrently.
TEST_CASE_METHOD(queue_fixture, "calls beyond the capacity are queued")
{
    queue.set_capacity(1);
    REQUIRE(kernel::ok(queue.submit(request(1))));
    REQUIRE(kernel::ok(queue.submit(request(2))));
    CHECK(queue.take_next() == 1);
    CHECK_FALSE(queue.take_next());
    queue.finish(1, milliseconds(1000));
    CHECK(queue.take_next() == 2);
}

// Guards against queueing an urgent call behind less urgent ones.
TEST_CASE_METHOD(queue_fixture, "calls run by priority, then by deadline")
{
    queue.set_capacity(4);
    REQUIRE(kernel::ok(queue.submit(request(1, 2))));
    REQUIRE(kernel::ok(queue.submit(request(2, 1, seconds(50)))));
    REQUIRE(kernel::ok(queue.submit(request(3, 1, seconds(40)))));
    REQUIRE(kernel::ok(queue.submit(request(4, 0))));
    CHECK(queue.take_next() == 4);
    CHECK(queue.take_next() == 3);
    CHECK(queue.take_next() == 2);
    CHECK(queue.take_next() == 1);
}

// Guards against queueing a call that will time out, and against a refusal
// without a retry-after time.
TEST_CASE_METHOD(queue_fixture,
                 "a call that would wait beyond its deadline is refused")
{
    queue.set_capacity(1);
    REQUIRE(kernel::ok(queue.submit(request(1, 1, seconds(60), seconds(10)))));
    REQUIRE(queue.take_next() == 1);
    auto const err = refusal(request(2, 1, seconds(4)));
    CHECK(err.kind == kernel::error_kind::overloaded);
    CHECK(err.run == kernel::run_state::not_run);
    CHECK(err.retry_after == milliseconds(seconds(6)));
    CHECK(kernel::ok(queue.submit(request(3, 1, seconds(11)))));
}

// Guards against an unbounded queue.
TEST_CASE_METHOD(queue_fixture, "a full queue refuses calls")
{
    for (std::uint64_t id = 1; id <= 4; ++id)
        REQUIRE(kernel::ok(queue.submit(request(id))));
    CHECK(refusal(request(5)).kind == kernel::error_kind::overloaded);
}

// Guards against a queued call that gets no answer after its deadline.
TEST_CASE_METHOD(queue_fixture,
                 "expired queued calls are returned exactly once")
{
    queue.set_capacity(1);
    REQUIRE(
        kernel::ok(queue.submit(request(1, 1, seconds(60), milliseconds(1)))));
    REQUIRE(queue.take_next() == 1);
    REQUIRE(kernel::ok(queue.submit(request(2, 1, seconds(2)))));
    clock.advance(seconds(2));
    queue.finish(1, milliseconds(1));
    CHECK_FALSE(queue.take_next());
    CHECK(queue.take_expired() == std::vector<std::uint64_t>{2});
    CHECK(queue.take_expired().empty());
    CHECK(queue.queued() == 0);
}

// Load pattern: urgent calls arrive after one that was queued with just enough
// time. Guards against a call that is kept until its deadline although it is
// known that it will not run, so that no other endpoint can take it.
TEST_CASE_METHOD(queue_fixture,
                 "a queued call that can no longer run in time is refused")
{
    queue.set_capacity(1);
    REQUIRE(kernel::ok(queue.submit(request(1, 1, seconds(60), seconds(10)))));
    REQUIRE(queue.take_next() == 1);
    REQUIRE(kernel::ok(queue.submit(request(2, 1, seconds(12), seconds(1)))));
    REQUIRE(kernel::ok(queue.submit(request(3, 1, seconds(60), seconds(1)))));
    CHECK(queue.take_hopeless().empty());
    REQUIRE(kernel::ok(queue.submit(request(4, 0, seconds(20), seconds(5)))));
    auto const refused = queue.take_hopeless();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].id == 2);
    CHECK(refused[0].reason.kind == kernel::error_kind::overloaded);
    CHECK(refused[0].reason.run == kernel::run_state::not_run);
    CHECK(refused[0].reason.retry_after == milliseconds(seconds(3)));
    CHECK(queue.take_hopeless().empty());
    CHECK(queue.queued() == 2);
}

// Load pattern: a running call takes longer than expected.
TEST_CASE_METHOD(queue_fixture,
                 "a call behind one that takes too long is refused in time")
{
    queue.set_capacity(1);
    REQUIRE(kernel::ok(queue.submit(request(1, 1, seconds(60), seconds(1)))));
    REQUIRE(queue.take_next() == 1);
    REQUIRE(kernel::ok(queue.submit(request(2, 1, seconds(3), seconds(2)))));
    REQUIRE(kernel::ok(queue.submit(request(3, 1, seconds(4), seconds(2)))));
    CHECK(queue.take_hopeless().empty());
    // The first call still runs, so the third cannot start within its time.
    clock.advance(milliseconds(2500));
    auto const refused = queue.take_hopeless();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].id == 3);
    clock.advance(milliseconds(500));
    CHECK(queue.take_expired() == std::vector<std::uint64_t>{2});
}

// Guards against accepting new calls at an endpoint that is shutting down, and
// against dropping its queued calls.
TEST_CASE_METHOD(queue_fixture, "a draining queue refuses new calls only")
{
    queue.set_capacity(1);
    REQUIRE(kernel::ok(queue.submit(request(1))));
    queue.drain();
    auto const err = refusal(request(2));
    CHECK(err.kind == kernel::error_kind::draining);
    CHECK(err.run == kernel::run_state::not_run);
    CHECK(queue.take_next() == 1);
}

// Guards against running the call of a caller that has disconnected.
TEST_CASE_METHOD(queue_fixture, "a withdrawn call is not run")
{
    REQUIRE(kernel::ok(queue.submit(request(1))));
    CHECK(queue.withdraw(1));
    CHECK_FALSE(queue.withdraw(1));
    CHECK_FALSE(queue.take_next());
}

} // namespace endiveward::admission

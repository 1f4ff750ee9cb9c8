#include "room/waiting_room.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace endiveward::room
{

namespace
{

using std::chrono::milliseconds;

kernel::steady_time at(int ms)
{
    return kernel::steady_time(std::chrono::seconds(100) + milliseconds(ms));
}

/// A short stream of deployment E. Its latest useful start is 310 ms after its
/// arrival.
waiting_request make_request(std::uint64_t ticket, int arrived = 0)
{
    waiting_request res;
    res.ticket = ticket;
    res.workspace = 1;
    res.caller = ticket;
    res.work = 1800;
    res.arrived = at(arrived);
    res.target_at = at(arrived + 500);
    res.expires = at(arrived + 3000);
    res.service_time = milliseconds(40);
    res.own_max_wait = milliseconds(150);
    res.max_wait = milliseconds(150);
    return res;
}

/// A long one, until 1,600 ms after its arrival.
waiting_request make_long_request(std::uint64_t ticket, int arrived = 0)
{
    auto res = make_request(ticket, arrived);
    res.work = 6610;
    res.target_at = at(arrived + 2000);
    res.expires = at(arrived + 15000);
    res.service_time = milliseconds(150);
    res.own_max_wait = milliseconds(600);
    res.max_wait = milliseconds(600);
    return res;
}

constexpr double rate = 100;
constexpr capacity_offer idle{milliseconds(0), true, true, rate};
constexpr capacity_offer busy{milliseconds(200), true, true, rate};
constexpr capacity_offer full{milliseconds(0), false, true, rate};

template <typename Decision>
bool is(room_decision const& it)
{
    return std::holds_alternative<Decision>(it);
}

std::optional<std::uint64_t> next(waiting_room& room, int now)
{
    return room.next({}, at(now));
}

} // namespace

TEST_CASE("a request goes where there is capacity and else waits for it")
{
    waiting_room room;
    CHECK(is<send_now>(room.decide(make_request(1), idle, at(0))));
    CHECK(room.empty());
    auto const decision = room.decide(make_request(2), busy, at(0));
    REQUIRE(is<wait_for_capacity>(decision));
    // It can be in time until then.
    CHECK(std::get<wait_for_capacity>(decision).until == at(310));
    CHECK(next(room, 50) == 2);
    CHECK(is<send_now>(room.decide(make_request(2), idle, at(50))));
    CHECK(room.empty());
}

// Guards against a wait that does not end.
TEST_CASE("a request waits for a third of its time at most")
{
    waiting_room room;
    auto const request = make_request(1);
    REQUIRE(is<wait_for_capacity>(room.decide(request, full, at(0))));
    auto const late = room.decide(request, full, at(310));
    REQUIRE(is<wait_for_capacity>(late));
    CHECK(std::get<wait_for_capacity>(late).until == at(1000));
    auto const end = room.decide(request, full, at(1000));
    REQUIRE(is<refuse_now>(end));
    CHECK(std::get<refuse_now>(end).time_to_capacity >= milliseconds(100));
    CHECK(room.empty());
}

TEST_CASE("the request with the least slack proceeds first")
{
    waiting_room room;
    room.decide(make_long_request(1), full, at(0));
    room.decide(make_request(2), busy, at(10));
    CHECK(next(room, 20) == 2);
    // A new one with more slack does not pass those that wait.
    CHECK(is<wait_for_capacity>(
        room.decide(make_long_request(3, 20), idle, at(20))));
    CHECK(is<send_now>(room.decide(make_request(2), idle, at(30))));
    // The one for which there is no memory does not hold up others.
    CHECK(is<send_now>(room.decide(make_long_request(3, 20), idle, at(30))));
}

TEST_CASE("of equal slack the higher priority proceeds first")
{
    waiting_room room;
    auto low = make_request(1);
    low.priority = 2;
    room.decide(low, busy, at(0));
    room.decide(make_request(2, 5), busy, at(5));
    CHECK(next(room, 10) == 2);
}

// Guards against late requests that make those late that could be in time.
TEST_CASE("a late request yields to those that can be in time")
{
    waiting_room room;
    room.decide(make_request(1), busy, at(0));
    room.decide(make_request(2, 300), busy, at(300));
    CHECK(next(room, 320) == 2);
    CHECK(is<wait_for_capacity>(room.decide(make_request(1), idle, at(320))));
    CHECK(is<send_now>(room.decide(make_request(2, 300), idle, at(330))));
    // Another one may have found no capacity at other routers, too.
    CHECK(is<wait_for_capacity>(room.decide(make_request(1), idle, at(340))));
    CHECK(is<send_now>(room.decide(make_request(1), idle, at(520))));
}

// Guards against requests that wait in vain and are then refused too late for
// their callers to return.
TEST_CASE("late requests are refused at once when few of them were served")
{
    waiting_room room;
    for (std::uint64_t n = 1; n <= 5; ++n)
    {
        auto const request = make_request(n);
        room.decide(request, full, at(0));
        room.decide(request, full, at(310));
    }
    for (std::uint64_t n = 1; n <= 5; ++n)
        CHECK(is<refuse_now>(room.decide(make_request(n), full, at(1000))));
    room.decide(make_request(9, 1000), full, at(1000));
    CHECK(is<refuse_now>(room.decide(make_request(9, 1000), full, at(1310))));
}

// Guards against a queue in which no request can be in time any more.
TEST_CASE("a request is refused at once if capacity is not expected in time")
{
    waiting_room room;
    std::uint64_t ticket = 1;
    while (
        is<wait_for_capacity>(room.decide(make_request(ticket), busy, at(0))))
        ++ticket;
    // 100 tokens a millisecond, for a third of 3 s.
    CHECK(ticket > 40);
    CHECK(ticket < 60);
    auto const decision = room.decide(make_request(100), busy, at(1));
    REQUIRE(is<refuse_now>(decision));
    CHECK(std::get<refuse_now>(decision).time_to_capacity > milliseconds(900));
}

// Guards against memory that is used up by waiting requests, and a long prompt
// that takes the place of several short ones.
TEST_CASE("a full room displaces the request that takes most")
{
    room_settings settings;
    settings.max_waiting = 2;
    waiting_room room(settings);
    room.decide(make_long_request(1), full, at(0));
    room.decide(make_request(2), busy, at(0));
    CHECK(is<wait_for_capacity>(room.decide(make_request(3), busy, at(1))));
    REQUIRE(room.take_displaced() == std::vector<std::uint64_t>{1});
    CHECK(is<refuse_now>(room.decide(make_long_request(1), idle, at(1))));
    CHECK(room.size() == 2);
    CHECK(is<refuse_now>(room.decide(make_request(4), busy, at(1))));
}

TEST_CASE("waiting requests occupy bounded memory")
{
    waiting_room room;
    auto request = make_request(1);
    request.bytes = std::size_t{10} << 20U;
    CHECK(is<wait_for_capacity>(room.decide(request, busy, at(0))));
    request.ticket = 2;
    CHECK(is<refuse_now>(room.decide(request, busy, at(0))));
    room.leave(1, at(1));
    CHECK(is<wait_for_capacity>(room.decide(request, busy, at(1))));
}

TEST_CASE("a caller that was refused proceeds before a newer one")
{
    waiting_room room;
    auto refused = make_request(1);
    refused.caller = 77;
    REQUIRE(is<refuse_now>(room.decide(refused, busy, at(1000))));
    auto again = make_request(3, 1100);
    again.caller = 77;
    room.decide(make_request(2, 1100), busy, at(1100));
    room.decide(again, busy, at(1100));
    CHECK(next(room, 1110) == 3);
}

// Load pattern: long prompts fill the queues of all engines to the depth that
// their own target allows, which is too deep for short ones.
TEST_CASE("requests with more time leave short queues to others")
{
    waiting_room room;
    auto const own = milliseconds(600);
    CHECK(room.max_wait(own, at(0), at(2000), at(0)) == own);
    room.decide(make_request(1), busy, at(0));
    CHECK(room.max_wait(own, at(0), at(2000), at(0)) == milliseconds(150));
    CHECK(room.max_wait(own, at(0), at(2000), at(1000)) == milliseconds(375));
    CHECK(room.max_wait(milliseconds(100), at(0), at(2000), at(0)) ==
          milliseconds(100));
    // Long ones that find no capacity do not prolong it.
    room.decide(make_long_request(2), {milliseconds(700), true, true, rate},
                at(900));
    CHECK(room.max_wait(own, at(900), at(2900), at(1001)) == own);
}

TEST_CASE("capacity is scarce for some time after it was lacking")
{
    waiting_room room;
    CHECK_FALSE(room.is_scarce(at(0)));
    room.decide(make_request(1), busy, at(0));
    room.leave(1, at(10));
    CHECK(room.is_scarce(at(900)));
    CHECK_FALSE(room.is_scarce(at(1100)));
}

// Load pattern: one workspace sends many times its usual load.
TEST_CASE("workspaces get capacity by their weights")
{
    waiting_room room;
    std::uint64_t ticket = 0;
    std::array<int, 3> served{};
    auto const add = [&](std::uint64_t workspace, double weight, int now)
    {
        auto request = make_request(++ticket, now);
        request.workspace = workspace;
        request.weight = weight;
        request.work = 100;
        room.decide(request, full, at(now));
    };
    for (int n = 0; n < 60; ++n)
        add(0, 1, 0);
    for (int n = 0; n < 20; ++n)
    {
        add(1, 1, 0);
        add(2, 2, 0);
    }
    for (int n = 0; n < 40; ++n)
    {
        auto const first = next(room, 1);
        REQUIRE(first);
        auto request = make_request(*first);
        request.work = 100;
        request.workspace = *first <= 60 ? 0 : 1 + (*first + 1) % 2;
        request.weight = request.workspace == 2 ? 2 : 1;
        REQUIRE(is<send_now>(room.decide(request, idle, at(1))));
        ++served.at(request.workspace);
    }
    CHECK(served[0] == Approx(10).margin(1));
    CHECK(served[1] == Approx(10).margin(1));
    CHECK(served[2] == Approx(20).margin(1));
}

} // namespace endiveward::room

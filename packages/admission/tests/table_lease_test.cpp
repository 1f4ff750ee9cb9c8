#include "admission/table_lease.hpp"

#include "kernel/manual_clock.hpp"
#include "storage/tests/support/fake_table.hpp"

#include <catch2/catch.hpp>

namespace endiveward::admission
{

namespace
{

using fault = storage::tests::commit_fault;
using std::chrono::milliseconds;
using std::chrono::seconds;

table_lease make_lease(kernel::i_clock const& clock, storage::i_table& table,
                       std::string holder)
{
    return {clock, table, [](std::function<void()> const& task) { task(); },
            table_lease_options{"leases/e", std::move(holder)}};
}

class lease_fixture
{
public:
    void run_for(seconds duration, table_lease& lease)
    {
        for (seconds n{0}; n < duration; ++n)
        {
            clock.advance(seconds(1));
            lease.tick();
        }
    }

    kernel::manual_clock clock;
    storage::tests::fake_table table;
    table_lease first = make_lease(clock, table, "first");
    table_lease second = make_lease(clock, table, "second");
};

} // namespace

// Guards against two agents that send orders to the same engine.
TEST_CASE_METHOD(lease_fixture, "only one process holds a lease at a time")
{
    first.tick();
    second.tick();
    CHECK(first.fencing_number() == 1);
    CHECK_FALSE(second.fencing_number());
    for (int n = 0; n < 60; ++n)
    {
        run_for(seconds(1), first);
        second.tick();
        CHECK(first.fencing_number() == 1);
        CHECK_FALSE(second.fencing_number());
    }
}

// Guards against orders from a holder that was paused for longer than its
// lease, and against a successor with the same fencing number.
TEST_CASE_METHOD(lease_fixture,
                 "a paused holder loses the lease before a successor gets it")
{
    first.tick();
    second.tick();
    for (int n = 0; n < 30; ++n)
    {
        run_for(seconds(1), second);
        CHECK_FALSE((first.fencing_number() && second.fencing_number()));
    }
    CHECK(second.fencing_number() == 2);
    CHECK_FALSE(first.fencing_number());
    first.tick();
    CHECK_FALSE(first.fencing_number());
}

// Guards against orders sent while the lease cannot be renewed.
TEST_CASE_METHOD(lease_fixture,
                 "a lease expires while the table is unavailable")
{
    first.tick();
    table.set_unavailable(true);
    run_for(seconds(9), first);
    CHECK_FALSE(first.fencing_number());
    table.set_unavailable(false);
    run_for(seconds(2), first);
    CHECK(first.fencing_number() == 1);
}

// Guards against a lease without a holder after the response to the write was
// lost.
TEST_CASE_METHOD(lease_fixture,
                 "a lease whose write response was lost is recognized")
{
    table.push_fault(fault::lost_after);
    first.tick();
    CHECK_FALSE(first.fencing_number());
    run_for(seconds(1), first);
    CHECK(first.fencing_number() == 1);
}

// Guards against a successor that waits for the expiry of a released lease, and
// against one with the same fencing number.
TEST_CASE_METHOD(lease_fixture, "a released lease can be acquired immediately")
{
    first.tick();
    REQUIRE(first.fencing_number() == 1);
    first.release();
    CHECK_FALSE(first.fencing_number());
    second.tick();
    CHECK(second.fencing_number() == 2);
}

// Guards against a former holder that releases the lease of its successor.
TEST_CASE_METHOD(lease_fixture, "a former holder releases no other lease")
{
    first.tick();
    second.tick();
    run_for(seconds(11), second);
    REQUIRE(second.fencing_number());
    first.tick();
    first.release();
    table_lease third = make_lease(clock, table, "third");
    third.tick();
    CHECK_FALSE(third.fencing_number());
}

// The table comes back from a copy that lacks the last takeover of the lease.
class restored_lease_fixture : public lease_fixture
{
public:
    restored_lease_fixture()
    {
        table.name_eras();
        first.tick();
        first.release();
        table.make_copy();
    }

    /// Runs both holders for that time; at most one may hold the lease.
    void run_both_for(seconds duration)
    {
        for (seconds n{0}; n < duration; ++n)
        {
            clock.advance(seconds(1));
            first.tick();
            second.tick();
            CHECK_FALSE((first.fencing_number() && second.fencing_number()));
        }
    }
};

// Guards against a fencing number that is given out again after a restore: an
// engine would then carry out a late order of the former holder.
TEST_CASE_METHOD(restored_lease_fixture,
                 "fencing numbers of a new era are above all earlier ones")
{
    std::uint64_t highest = 0;
    for (int n = 0; n < 5; ++n)
    {
        second.tick();
        REQUIRE(second.fencing_number());
        CHECK(*second.fencing_number() > highest);
        highest = *second.fencing_number();
        second.release();
        first.tick();
        REQUIRE(first.fencing_number());
        CHECK(*first.fencing_number() > highest);
        highest = *first.fencing_number();
        first.release();
    }
    table.restore();
    run_for(seconds(12), second);
    REQUIRE(second.fencing_number());
    CHECK(*second.fencing_number() > highest);
}

// Guards against a second holder beside one whose acquisition is not in the
// copy.
TEST_CASE_METHOD(restored_lease_fixture,
                 "a lease lost with the copy is not given to another holder")
{
    second.tick();
    REQUIRE(second.fencing_number());
    table.restore();
    for (int n = 0; n < 30; ++n)
    {
        run_for(seconds(1), first);
        CHECK_FALSE((first.fencing_number() && second.fencing_number()));
    }
    CHECK(first.fencing_number());
}

// Guards against a holder that loses its lease by a restore although no other
// process can have acquired it, and against orders with a number of the old
// era once the new one is known.
TEST_CASE_METHOD(restored_lease_fixture,
                 "a holder renews its lease in the new era")
{
    second.tick();
    auto const before = second.fencing_number();
    table.restore();
    table.read("other", seconds(1), [](auto const&) {});
    CHECK_FALSE(second.fencing_number());
    second.tick();
    REQUIRE(second.fencing_number());
    CHECK(*second.fencing_number() > *before);
    run_both_for(seconds(30));
    CHECK(second.fencing_number());
}

// Guards against a former holder that the copy still names and that takes the
// lease back from its successor.
TEST_CASE_METHOD(restored_lease_fixture,
                 "a former holder named by the copy does not renew")
{
    first.tick();
    table.make_copy();
    first.release();
    second.tick();
    REQUIRE(second.fencing_number());
    table.restore();
    first.tick();
    CHECK_FALSE(first.fencing_number());
    run_both_for(seconds(30));
    CHECK(second.fencing_number());
}

// Guards against a write based on a row of the old era that matches a version
// given out again.
TEST_CASE_METHOD(restored_lease_fixture,
                 "a write that crosses a restore gives no lease")
{
    table.before_next_commit([this] { table.restore(); });
    first.tick();
    CHECK_FALSE(first.fencing_number());
    run_both_for(seconds(30));
    CHECK((first.fencing_number() || second.fencing_number()));
}

// Guards against two holders after a write of the old era that arrives late
// replaces the row of the holder in the new era.
TEST_CASE_METHOD(restored_lease_fixture,
                 "a delayed write of the old era does not add a holder")
{
    table.push_fault(fault::delayed);
    first.tick();
    table.restore();
    run_for(seconds(12), second);
    REQUIRE(second.fencing_number());
    table.deliver_delayed();
    run_both_for(seconds(30));
}

} // namespace endiveward::admission

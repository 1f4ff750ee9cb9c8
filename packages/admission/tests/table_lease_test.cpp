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

} // namespace endiveward::admission

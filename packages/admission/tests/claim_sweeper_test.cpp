#include "admission/claim_sweeper.hpp"

#include "admission/types/claim_record.hpp"
#include "kernel/manual_clock.hpp"
#include "storage/tests/support/fake_table.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace endiveward::admission
{

namespace
{

using std::chrono::hours;
using std::chrono::seconds;

} // namespace

// Guards against unbounded growth of the table, and against deleting a claim
// that still prevents a second run.
TEST_CASE("claim rows are deleted only after their retention period")
{
    kernel::manual_clock clock;
    storage::tests::fake_table table;
    claim_sweeper sweeper(
        clock, table, [](std::function<void()> const& task) { task(); },
        hours(24), seconds(1));
    clock.advance(hours(48));
    constexpr int rows = 250;
    for (int n = 0; n < rows; ++n)
    {
        claim_record record;
        record.written_at = clock.wall_now() - hours(n < 120 ? 25 : 23);
        auto const key = fmt::format("claims/w/{:03}", n);
        table.put(key, encode(record));
    }
    table.put("claims/w/other", "not a claim");
    table.put("config/head", "{}");

    for (int n = 0; n < 3; ++n)
        sweeper.tick();
    CHECK(sweeper.deleted() == 120);
    CHECK(table.rows().size() == rows - 120 + 2);
    CHECK(table.rows().contains("claims/w/120"));
}

} // namespace endiveward::admission

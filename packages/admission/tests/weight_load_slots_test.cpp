#include "admission/weight_load_slots.hpp"

#include "kernel/manual_clock.hpp"
#include "storage/tests/support/fake_table.hpp"

#include <catch2/catch.hpp>

namespace endiveward::admission
{

namespace
{

using std::chrono::seconds;

class slots_fixture
{
public:
    slots_fixture()
    {
        for (int n = 0; n < 6; ++n)
            agents.push_back(std::make_unique<weight_load_slots>(
                clock, table, [](std::function<void()> const& task) { task(); },
                "agent " + std::to_string(n)));
    }

    void tick_all()
    {
        clock.advance(seconds(1));
        for (auto const& it : agents)
            it->tick();
    }

    std::size_t held() const
    {
        return static_cast<std::size_t>(
            std::count_if(agents.begin(), agents.end(),
                          [](auto const& it) { return it->held(); }));
    }

    kernel::manual_clock clock;
    storage::tests::fake_table table;
    std::vector<std::unique_ptr<weight_load_slots>> agents;
};

} // namespace

// Guards against more concurrent loads than the weight store can serve, and
// against agents that never get a slot.
TEST_CASE_METHOD(slots_fixture, "every agent gets a slot, two at a time")
{
    for (auto const& it : agents)
        it->request();
    std::size_t loads = 0;
    for (int n = 0; n < 60 && loads < agents.size(); ++n)
    {
        tick_all();
        CHECK(held() <= weight_load_slots::slot_count);
        for (auto const& it : agents)
        {
            if (!it->held())
                continue;
            ++loads;
            it->release();
        }
    }
    CHECK(loads == agents.size());
}

// Guards against a slot that stays occupied by a crashed process.
TEST_CASE_METHOD(slots_fixture,
                 "the slot of a crashed process becomes available")
{
    for (auto const& it : agents)
        it->request();
    tick_all();
    REQUIRE(held() == weight_load_slots::slot_count);
    std::erase_if(agents, [](auto const& it) { return it->held(); });
    for (int n = 0; n < 15; ++n)
        tick_all();
    CHECK(held() == weight_load_slots::slot_count);
}

// Guards against loads that start while the concurrent loads cannot be limited.
TEST_CASE_METHOD(slots_fixture,
                 "no slot is held while the table is unavailable")
{
    table.set_unavailable(true);
    for (auto const& it : agents)
        it->request();
    for (int n = 0; n < 15; ++n)
        tick_all();
    CHECK(held() == 0);
}

} // namespace endiveward::admission

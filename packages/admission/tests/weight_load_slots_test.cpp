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

// Guards against more loads at once than the weight store carries, and against
// agents that never get a slot.
TEST_CASE_METHOD(slots_fixture, "every agent loads, two at a time")
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

// Guards against a slot that a dead process keeps for ever.
TEST_CASE_METHOD(slots_fixture, "the slot of a dead process becomes free")
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

// Guards against loads that start while nobody can count them.
TEST_CASE_METHOD(slots_fixture, "without the table no load starts")
{
    table.set_unavailable(true);
    for (auto const& it : agents)
        it->request();
    for (int n = 0; n < 15; ++n)
        tick_all();
    CHECK(held() == 0);
}

} // namespace endiveward::admission

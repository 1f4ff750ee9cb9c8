#include "policy/block_ledger.hpp"
#include "policy/engine_fake.hpp"
#include "policy/simulation.hpp"

#include <catch2/catch.hpp>

#include <vector>

namespace endiveward::bench
{

using namespace std::chrono_literals;

// Guards against a fake whose cache never evicts, which would make every
// policy look good.
TEST_CASE("the engine fake evicts the least recently used block")
{
    block_ledger ledger;
    engine_fake engine(4, ledger);
    std::vector<std::uint64_t> const first{1, 2, 3};
    std::vector<std::uint64_t> const second{7, 8};
    engine.use(first);
    CHECK(engine.cached_blocks(first) == 3);
    engine.use(second);
    CHECK(engine.cached_blocks(second) == 2);
    CHECK(engine.cached_blocks(first) == 2);
    engine.restart();
    CHECK(engine.cached_blocks(second) == 0);
    CHECK(engine.incarnation() == 2);
}

// Guards against waste counted for the first computation of a block, or not
// counted while another engine holds it.
TEST_CASE("the ledger tells waste from necessary work")
{
    block_ledger ledger;
    CHECK_FALSE(ledger.is_waste(1, 0s));
    ledger.computed(1, 5s);
    CHECK(ledger.is_waste(1, 15s));
    CHECK_FALSE(ledger.is_waste(1, 16s));
    ledger.stored(1);
    CHECK(ledger.is_waste(1, 60s));
    ledger.evicted(1);
    CHECK_FALSE(ledger.is_waste(1, 60s));
}

// Guards against figures that cannot be repeated.
TEST_CASE("a run depends only on its description and its seed")
{
    auto const load =
        load_workload(POLICY_WORKLOADS "/steekproef.toml", "crashes");
    auto const left =
        simulation(load, make_trace(load, 7), policy_kind::endiveward).run();
    auto const right =
        simulation(load, make_trace(load, 7), policy_kind::endiveward).run();
    CHECK(left.hits.hit_bytes == right.hits.hit_bytes);
    CHECK(left.ttft == right.ttft);
    CHECK(left.attempts == right.attempts);
}

} // namespace endiveward::bench

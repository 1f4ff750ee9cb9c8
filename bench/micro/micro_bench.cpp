#include "kernel/system_clock.hpp"
#include "placement/cache_namespace.hpp"
#include "placement/placement.hpp"
#include "placement/prefix_levels.hpp"
#include "placement/types/endpoint_status.hpp"
#include "placement/types/placement_choice.hpp"
#include "placement/types/placement_request.hpp"

#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <new>
#include <string>

namespace
{

std::atomic<std::size_t> allocations{0};

void* allocate(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (void* ptr = std::malloc(size))
        return ptr;
    throw std::bad_alloc();
}

} // namespace

void* operator new(std::size_t size)
{
    return allocate(size);
}
void operator delete(void* ptr) noexcept
{
    std::free(ptr);
}
void operator delete(void* ptr, std::size_t) noexcept
{
    std::free(ptr);
}

namespace
{

using namespace endiveward;

/// Adds the allocations for each iteration to the figures.
class allocation_counter
{
public:
    explicit allocation_counter(benchmark::State& state)
        : state_(state)
        , before_(allocations)
    {
    }
    ~allocation_counter()
    {
        state_.counters["allocations"] =
            benchmark::Counter(static_cast<double>(allocations - before_),
                               benchmark::Counter::kAvgIterations);
    }
    allocation_counter(allocation_counter const&) = delete;
    allocation_counter& operator=(allocation_counter const&) = delete;

private:
    benchmark::State& state_;
    std::size_t before_;
};

placement::cache_namespace make_space()
{
    return {kernel::workspace_id("w"), kernel::model_id("m"),
            kernel::model_version("1"), ""};
}

placement::placement_request make_request(std::size_t endpoints)
{
    auto ids = std::make_shared<std::vector<kernel::endpoint_id>>();
    for (std::size_t i = 0; i < endpoints; ++i)
        ids->emplace_back("endpoint-" + std::to_string(i));
    std::string const part(16 * placement::block_bytes, 'a');
    std::vector<std::string_view> const parts(4, part);
    placement::placement_request request;
    request.allowed = ids;
    request.model = kernel::model_id("m");
    request.version = kernel::model_version("1");
    request.levels = placement::make_prefix_levels(make_space(), parts);
    request.prompt_bytes = parts.size() * part.size();
    return request;
}

void choose_endpoint(benchmark::State& state)
{
    auto const request = make_request(static_cast<std::size_t>(state.range()));
    placement::placement sut(std::make_shared<kernel::system_clock>(),
                             kernel::region_id("r"), {});
    for (auto const& id : *request.allowed)
    {
        wire::load_report load;
        load.engine_incarnation = 1;
        load.capacity = 8;
        load.models = {{request.model, request.version}};
        sut.update_endpoint(
            {id, kernel::region_id("r"), kernel::zone_id("z"), true, load});
    }
    allocation_counter const counter(state);
    for (auto const _ : state)
        benchmark::DoNotOptimize(sut.choose(request));
}

void hash_prompt(benchmark::State& state)
{
    std::string const text(static_cast<std::size_t>(state.range()), 'a');
    std::vector<std::string_view> const parts{text};
    auto const space = make_space();
    allocation_counter const counter(state);
    for (auto const _ : state)
        benchmark::DoNotOptimize(placement::make_prefix_levels(space, parts));
    state.SetBytesProcessed(state.iterations() * state.range());
}

} // namespace

BENCHMARK(choose_endpoint)->Arg(12)->Arg(100)->Arg(300);
BENCHMARK(hash_prompt)->Arg(4 << 10)->Arg(64 << 10)->Arg(1 << 20);

BENCHMARK_MAIN();

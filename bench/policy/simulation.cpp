#include "policy/simulation.hpp"

#include "placement/prefix_levels.hpp"
#include "placement/types/endpoint_status.hpp"
#include "placement/types/placement_choice.hpp"
#include "wire/types/verdict.hpp"

#include <algorithm>

namespace endiveward::bench
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::round;

constexpr std::size_t max_attempts = 3;
constexpr double retry_share = 0.1;
constexpr double retry_burst = 10.0;
// A lost availability zone sends no resets; routers notice by the verdict
// timeout.
constexpr sim_time verdict_timeout = 250ms;
constexpr sim_time heartbeat_interval = 1s;

double to_ms(sim_time time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

struct simulation::call
{
    request_spec const* spec = nullptr;
    placement::placement_request request;
    std::size_t worker = 0;
    std::uint64_t attempt = 0;
    std::uint64_t router_life = 0;
    std::size_t attempts = 0;
    sim_time started{};
    request_trace trace;
    bool has_output = false;
    bool measured = false;
    bool ended = false;

    sim_time deadline() const { return spec->arrival + spec->deadline; }
};

simulation::simulation(workload const& load, trace const& input,
                       policy_kind kind)
    : load_(load)
    , input_(input)
    , kind_(kind)
    , clock_(std::make_shared<kernel::manual_clock>())
{
    result_.measured_s =
        std::chrono::duration<double>(load.duration - load.warm_up).count();
    result_.hits_by_time.resize(
        static_cast<std::size_t>(load.duration / slice) + 1);
    add_workers();
    start_routers();
    schedule_trace();
    schedule_failures();
    publish_loads();
    if (kind_ == policy_kind::trusting)
        send_heartbeats();
}

simulation::~simulation() = default;

run_result simulation::run()
{
    while (!events_.empty())
    {
        event next = events_.top();
        events_.pop();
        clock_->advance_to(next.at);
        next.action();
    }
    for (auto const& it : all_calls_)
        result_.not_ended += it->ended ? 0 : 1;
    return std::move(result_);
}

void simulation::at(sim_time time, std::function<void()> action)
{
    events_.push({time, next_event_++, std::move(action)});
}

void simulation::after(sim_time delay, std::function<void()> action)
{
    at(now() + delay, std::move(action));
}

void simulation::add_workers()
{
    auto ids = std::make_shared<std::vector<kernel::endpoint_id>>();
    for (std::size_t i = 0; i < load_.workers; ++i)
    {
        worker made;
        made.id = kernel::endpoint_id(fmt::format("worker-{:03}", i));
        made.zone = i % load_.zones;
        made.engine =
            std::make_unique<engine_fake>(load_.cache_blocks, ledger_);
        // The queue of the verdict-less baseline never refuses.
        made.queue = std::make_unique<admission::admission_queue>(
            *clock_,
            kind_ == policy_kind::trusting ? 1U << 20U : load_.max_queue);
        made.queue->set_capacity(load_.slots);
        made.published = current_load(made);
        ids->push_back(made.id);
        worker_index_.emplace(made.id, i);
        workers_.push_back(std::move(made));
    }
    allowed_ = ids;
}

void simulation::start_routers()
{
    if (routers_.empty())
        for (std::size_t i = 0; i < load_.routers; ++i)
            routers_.push_back(std::unique_ptr<router>(
                new router{nullptr, {retry_share, retry_burst}, 0}));
    for (auto& it : routers_)
    {
        it->policy = make_policy(kind_, load_, clock_, *this);
        ++it->life;
    }
    for (auto& it : workers_)
    {
        // The agent's hello carries its current state.
        it.published = current_load(it);
        tell_routers(it);
    }
}

void simulation::schedule_trace()
{
    for (auto const& spec : input_.requests)
    {
        auto made = std::make_shared<call>();
        made->spec = &spec;
        made->measured = spec.arrival >= load_.warm_up;
        made->request.allowed = allowed_;
        made->request.model = kernel::model_id("m");
        made->request.version = kernel::model_version("1");
        made->request.levels = spec.levels;
        made->request.prompt_bytes = spec.prompt_bytes;
        all_calls_.push_back(made);
        at(spec.arrival, [this, made] { arrive(made); });
    }
}

void simulation::schedule_failures()
{
    for (auto const& it : input_.crashes)
        at(it.at,
           [this, i = it.worker]
           {
               if (!workers_[i].alive)
                   return;
               fail_worker(workers_[i], load_.network_latency);
               after(load_.restart_time,
                     [this, i] { restart_worker(workers_[i]); });
           });
    if (load_.zone_loss_at > sim_time(0))
        at(load_.zone_loss_at,
           [this]
           {
               for (auto& it : workers_)
                   if (it.zone == 0)
                   {
                       it.lost = true;
                       fail_worker(it, verdict_timeout);
                   }
           });
    if (load_.herd_restart_at > sim_time(0))
        at(load_.herd_restart_at, [this] { start_routers(); });
}

// The agent's report is refreshed once per lag; without a lag it is current.
void simulation::publish_loads()
{
    if (load_.load_report_lag == 0ms || now() > load_.duration)
        return;
    for (auto& it : workers_)
        it.published = current_load(it);
    after(load_.load_report_lag, [this] { publish_loads(); });
}

void simulation::send_heartbeats()
{
    if (now() > load_.duration)
        return;
    for (auto& it : workers_)
    {
        it.published = current_load(it);
        tell_routers(it);
    }
    after(heartbeat_interval, [this] { send_heartbeats(); });
}

void simulation::arrive(std::shared_ptr<call> const& it)
{
    routers_[it->spec->router]->budget.on_request();
    if (it->measured)
        ++result_.requests;
    dispatch(it);
}

void simulation::dispatch(std::shared_ptr<call> const& it)
{
    auto& from = *routers_[it->spec->router];
    if (now() >= it->deadline())
        return end(*it, result_.late);
    placing_ = it->spec;
    it->request.time_left = round<milliseconds>(it->deadline() - now());
    auto const choice = from.policy->choose(it->request);
    if (!kernel::ok(choice))
        return end(*it, result_.refused);

    it->worker = worker_index_.at(kernel::value(choice).endpoint);
    auto const& to = workers_[it->worker];
    trace_placement(*it, kernel::value(choice));
    result_.chosen_unavailable += to.told_alive ? 0 : 1;
    it->attempt = ++next_attempt_;
    it->router_life = from.life;
    ++it->attempts;
    if (it->measured)
        ++result_.attempts;
    from.policy->on_sent(it->request, to.id);
    if (kind_ == policy_kind::trusting)
        assume_verdict(it);
    after(load_.network_latency, [this, it] { deliver(it); });
}

// A router without verdicts assumes that the whole prompt will be cached. Of
// the load it knows the last heartbeat and its own calls since, so the call
// stays counted as unanswered.
void simulation::assume_verdict(std::shared_ptr<call> const& it)
{
    auto& policy = *routers_[it->spec->router]->policy;
    auto const& to = workers_[it->worker];
    wire::verdict assumed;
    assumed.hit_bytes = it->spec->prompt_bytes;
    assumed.load = to.told_load;
    assumed.load.recent_levels.clear();
    assumed.load.queue_wait = std::max(
        assumed.load.queue_wait - round<milliseconds>((now() - to.told_at) / 2),
        0ms);
    policy.on_verdict(it->request, to.id, assumed);
    policy.on_sent(it->request, to.id);
    policy.on_finished(it->request, to.id, nullptr);
}

void simulation::deliver(std::shared_ptr<call> const& it)
{
    auto& to = workers_[it->worker];
    if (!to.alive)
    {
        sim_time const notice =
            to.lost ? verdict_timeout : sim_time(load_.network_latency);
        after(notice,
              [this, it]
              {
                  finished(it, std::nullopt);
                  retry(it);
              });
        return;
    }
    std::size_t const cached = to.engine->cached_blocks(it->spec->blocks);
    admission::admission_request ticket;
    ticket.id = it->attempt;
    ticket.priority = it->spec->priority;
    ticket.deadline = kernel::steady_time(it->deadline());
    ticket.expected_service = service_time(to, *it->spec);
    if (kind_ == policy_kind::trusting)
        ticket.deadline = kernel::steady_time(24h);
    auto const decision = to.queue->submit(ticket);
    if (!kernel::ok(decision))
    {
        auto const load = report(to);
        after(load_.network_latency,
              [this, it, load, reason = kernel::failure(decision)]
              { refused(it, reason, load); });
        return;
    }
    to.calls.emplace(it->attempt, it);
    to.recent.add(it->spec->levels);
    for (auto const block : it->spec->blocks)
        ++to.pending[block];
    if (kind_ != policy_kind::trusting)
    {
        wire::verdict answer;
        answer.hit_bytes = cached * placement::block_bytes;
        answer.load = report(to);
        after(load_.network_latency,
              [this, it, answer, life = it->router_life, index = it->worker]
              {
                  auto& from = *routers_[it->spec->router];
                  if (from.life == life)
                      from.policy->on_verdict(it->request, workers_[index].id,
                                              answer);
              });
    }
    pump(to);
}

void simulation::refused(std::shared_ptr<call> const& it,
                         kernel::error const& reason, wire::load_report load)
{
    auto& from = *routers_[it->spec->router];
    auto const& id = workers_[it->worker].id;
    if (from.life == it->router_life)
    {
        wire::verdict answer;
        answer.refusal = reason;
        answer.load = load;
        from.policy->on_verdict(it->request, id, answer);
    }
    finished(it, std::move(load));
    it->request.excluded.push_back(id);
    retry(it);
}

void simulation::retry(std::shared_ptr<call> const& it)
{
    auto& from = *routers_[it->spec->router];
    if (it->attempts >= max_attempts || !from.budget.try_retry())
        return end(*it, result_.refused);
    dispatch(it);
}

void simulation::pump(worker& to)
{
    for (auto const id : to.queue->take_expired())
    {
        auto const it = to.calls.at(id);
        expire(to, it);
    }
    while (auto const id = to.queue->take_next())
    {
        auto const it = to.calls.at(*id);
        start(to, it);
    }
}

void simulation::start(worker& to, std::shared_ptr<call> const& it)
{
    it->started = now();
    std::size_t const cached = to.engine->cached_blocks(it->spec->blocks);
    count_start(*it, cached);
    it->trace.wait_ms = to_ms(now() - it->spec->arrival);
    it->trace.prefix_bytes = it->spec->blocks.size() * placement::block_bytes;
    it->trace.hit_bytes = cached * placement::block_bytes;
    // Blocks in use are kept: they move to the front of the cache.
    to.engine->use({it->spec->blocks.data(), cached});
    sim_time const prefill =
        prefill_time(it->spec->prompt_bytes - cached * placement::block_bytes);
    after(prefill,
          [this, it, &to, attempt = it->attempt]
          {
              if (to.calls.contains(attempt))
                  first_token(to, it);
          });
    // The engine cancels a call whose deadline passes.
    sim_time const limit = it->deadline();
    sim_time const done = now() + prefill + it->spec->decode;
    bool const in_time = kind_ == policy_kind::trusting || done <= limit;
    at(in_time ? done : std::max(limit, now()),
       [this, it, &to, attempt = it->attempt, in_time]
       {
           if (!to.calls.contains(attempt))
               return;
           in_time ? complete(to, it) : expire(to, it);
       });
}

void simulation::first_token(worker& to, std::shared_ptr<call> const& it)
{
    to.engine->use(it->spec->blocks);
    for (auto const block : it->spec->blocks)
        ledger_.computed(block, now());
    it->has_output = true;
    if (!it->measured)
        return;
    sim_time const ttft = now() + load_.network_latency - it->spec->arrival;
    result_.ttft.push_back(to_ms(ttft));
    it->trace.ttft_ms = to_ms(ttft);
    result_.traces.push_back(it->trace);
}

void simulation::complete(worker& to, std::shared_ptr<call> const& it)
{
    to.queue->finish(it->attempt, round<milliseconds>(now() - it->started));
    leave(to, it);
    bool const late = now() > it->deadline();
    end(*it, late ? result_.late : result_.good);
    pump(to);
    after(load_.network_latency,
          [this, it, load = report(to)] { finished(it, load); });
}

void simulation::expire(worker& to, std::shared_ptr<call> const& it)
{
    to.queue->finish(it->attempt, round<milliseconds>(now() - it->started));
    leave(to, it);
    end(*it, result_.late);
    pump(to);
    after(load_.network_latency,
          [this, it, load = report(to)] { finished(it, load); });
}

void simulation::leave(worker& to, std::shared_ptr<call> const& it)
{
    to.calls.erase(it->attempt);
    for (auto const block : it->spec->blocks)
        if (--to.pending[block] == 0)
            to.pending.erase(block);
}

void simulation::fail_worker(worker& to, sim_time detection)
{
    to.alive = false;
    auto const calls = std::move(to.calls);
    to.calls.clear();
    to.pending.clear();
    to.queue =
        std::make_unique<admission::admission_queue>(*clock_, load_.max_queue);
    to.queue->set_capacity(load_.slots);
    to.engine->restart();
    to.recent.clear();
    to.published = current_load(to);
    after(detection, [this, &to] { tell_routers(to); });
    std::vector<std::uint64_t> attempts;
    attempts.reserve(calls.size());
    for (auto const& [attempt, it] : calls)
        attempts.push_back(attempt);
    std::sort(attempts.begin(), attempts.end());
    for (auto const attempt : attempts)
        after(detection,
              [this, it = calls.at(attempt)]
              {
                  finished(it, std::nullopt);
                  if (it->has_output)
                      return end(*it, result_.lost);
                  retry(it);
              });
}

void simulation::restart_worker(worker& to)
{
    if (to.lost)
        return;
    to.alive = true;
    to.published = current_load(to);
    after(load_.network_latency, [this, &to] { tell_routers(to); });
}

void simulation::finished(std::shared_ptr<call> const& it,
                          std::optional<wire::load_report> load)
{
    auto& from = *routers_[it->spec->router];
    if (from.life != it->router_life)
        return;
    bool const hidden = kind_ == policy_kind::trusting || !load.has_value();
    from.policy->on_finished(it->request, workers_[it->worker].id,
                             hidden ? nullptr : &*load);
}

void simulation::tell_routers(worker& at)
{
    at.told_alive = at.alive;
    at.told_load = at.published;
    at.told_at = now();
    placement::endpoint_status status;
    status.id = at.id;
    status.region = kernel::region_id("local");
    status.zone = kernel::zone_id(std::to_string(at.zone));
    status.available = at.alive;
    status.load = at.published;
    for (auto& it : routers_)
        it->policy->update_endpoint(status);
}

wire::load_report simulation::report(worker& at) const
{
    if (load_.load_report_lag == 0ms)
        at.published = current_load(at);
    return at.published;
}

wire::load_report simulation::current_load(worker const& at) const
{
    wire::load_report load;
    load.agent_incarnation = 1;
    load.engine_incarnation = at.engine->incarnation();
    load.running = static_cast<std::uint32_t>(at.queue->running());
    load.queued = static_cast<std::uint32_t>(at.queue->queued());
    load.capacity = static_cast<std::uint32_t>(at.queue->capacity());
    load.queue_wait = at.queue->estimated_wait();
    load.recent_levels = at.recent.list();
    load.models = {{kernel::model_id("m"), kernel::model_version("1")}};
    return load;
}

milliseconds simulation::service_time(worker const& at,
                                      request_spec const& spec) const
{
    std::size_t const cached = at.engine->cached_blocks(spec.blocks);
    return round<milliseconds>(prefill_time(spec.prompt_bytes -
                                            cached * placement::block_bytes)) +
           spec.decode;
}

void simulation::trace_placement(call& it,
                                 placement::placement_choice const& choice)
{
    auto& out = it.trace;
    out.arrival_ms = to_ms(it.spec->arrival);
    out.worker = it.worker;
    out.attempts = it.attempts + 1;
    out.expected_hit_bytes = choice.expected_hit_bytes;
    out.expected_wait_ms = to_ms(choice.expected_wait);
    auto const& chosen = workers_[it.worker].id;
    out.chosen_wait_ms = to_ms(wait(chosen));
    out.chosen_hit_bytes = hit_bytes(chosen);
    out.best_worker = it.worker;
    out.best_hit_bytes = out.chosen_hit_bytes;
    for (auto const& other : workers_)
        if (other.alive && hit_bytes(other.id) > out.best_hit_bytes)
        {
            out.best_worker = worker_index_.at(other.id);
            out.best_hit_bytes = hit_bytes(other.id);
        }
    out.best_wait_ms = to_ms(wait(workers_[out.best_worker].id));
}

sim_time simulation::prefill_time(std::uint64_t bytes) const
{
    return std::chrono::duration_cast<sim_time>(std::chrono::duration<double>(
        static_cast<double>(bytes) /
        static_cast<double>(load_.prefill_bytes_per_second)));
}

void simulation::count_start(call& it, std::size_t cached)
{
    if (!it.measured)
        return;
    std::uint64_t const prefix =
        it.spec->blocks.size() * placement::block_bytes;
    std::uint64_t const hit = cached * placement::block_bytes;
    result_.hits.prefix_bytes += prefix;
    result_.hits.hit_bytes += hit;
    auto& part =
        result_
            .hits_by_time[static_cast<std::size_t>(it.spec->arrival / slice)];
    part.prefix_bytes += prefix;
    part.hit_bytes += hit;
    result_.computed_bytes += prefix - hit;
    for (std::size_t i = cached; i < it.spec->blocks.size(); ++i)
        if (ledger_.is_waste(it.spec->blocks[i], now()))
            result_.wasted_bytes += placement::block_bytes;
}

void simulation::end(call& it, std::size_t& counter)
{
    if (it.ended)
    {
        ++result_.ended_twice;
        return;
    }
    it.ended = true;
    if (!it.measured)
        return;
    ++counter;
    if (&counter == &result_.refused)
        result_.refusal_time.push_back(to_ms(now() - it.spec->arrival));
}

simulation::worker const& simulation::find(kernel::endpoint_id const& id) const
{
    return workers_[worker_index_.at(id)];
}

bool simulation::alive(kernel::endpoint_id const& id) const
{
    return find(id).alive;
}

milliseconds simulation::wait(kernel::endpoint_id const& id) const
{
    return find(id).queue->estimated_wait();
}

std::uint64_t simulation::hit_bytes(kernel::endpoint_id const& id) const
{
    auto const& at = find(id);
    auto const& blocks = placing_->blocks;
    std::size_t n = at.engine->cached_blocks(blocks);
    while (n < blocks.size() && at.pending.contains(blocks[n]))
        ++n;
    return n * placement::block_bytes;
}

double simulation::occupancy(kernel::endpoint_id const& id) const
{
    auto const& queue = *find(id).queue;
    return static_cast<double>(queue.running() + queue.queued()) /
           static_cast<double>(queue.capacity());
}

} // namespace endiveward::bench

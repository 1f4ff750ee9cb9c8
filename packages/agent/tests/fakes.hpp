#ifndef ENDIVEWARD_AGENT_TESTS_FAKES_HPP
#define ENDIVEWARD_AGENT_TESTS_FAKES_HPP

#include "admission/i_admission_queue.hpp"
#include "admission/i_cache_index.hpp"
#include "admission/i_idempotency_ledger.hpp"
#include "admission/i_stream_buffer.hpp"
#include "admission/types/admission_request.hpp"
#include "admission/types/queue_refusal.hpp"
#include "agent/i_endpoint_client.hpp"
#include "agent/i_endpoint_observer.hpp"
#include "agent/types/endpoint_notices.hpp"
#include "agent/types/endpoint_result.hpp"
#include "config/i_config_state.hpp"
#include "config/i_configuration.hpp"
#include "config/types/endpoint_entry.hpp"
#include "config/types/routing_key.hpp"
#include "wire/i_connection.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace endiveward::agent
{

/// Records the messages sent to a router.
class fake_connection : public wire::i_connection
{
public:
    wire::hello peer_hello;

    wire::hello const& peer() const override { return peer_hello; }
    bool is_open() const override { return open_; }
    void send(wire::message const& msg, wire::write_handler handler) override
    {
        sent.push_back(msg);
        if (handler)
            handler(wire::write_outcome::written);
    }
    void close() override { open_ = false; }

    template <typename T>
    std::vector<T> all() const
    {
        std::vector<T> found;
        for (auto const& it : sent)
        {
            if (auto const* const msg = std::get_if<T>(&it))
                found.push_back(*msg);
        }
        return found;
    }

    /// The concatenated bytes of all chunks, or nothing if a chunk number is
    /// out of sequence.
    std::optional<std::string> received_bytes(std::uint64_t first = 0) const
    {
        std::string text;
        for (auto const& it : all<wire::chunk>())
        {
            if (it.number != first++)
                return std::nullopt;
            text += it.bytes;
        }
        return text;
    }

    std::vector<wire::message> sent;

private:
    bool open_ = true;
};

/// FIFO queue without priorities.
class fake_queue : public admission::i_admission_queue
{
    kernel::i_clock const& clock_;

public:
    explicit fake_queue(kernel::i_clock const& clock)
        : clock_(clock)
    {
    }
    void set_capacity(std::size_t capacity) override { capacity_ = capacity; }
    kernel::result<kernel::done>
    submit(admission::admission_request const& request) override
    {
        if (draining_)
            return kernel::error{kernel::error_kind::draining,
                                 "draining",
                                 kernel::run_state::not_run,
                                 {}};
        waiting_.push_back(request);
        return kernel::done{};
    }
    std::optional<std::uint64_t> take_next() override
    {
        if (waiting_.empty() || running_.size() >= capacity_)
            return std::nullopt;
        auto const id = waiting_.front().id;
        waiting_.pop_front();
        running_.insert(id);
        return id;
    }
    std::vector<std::uint64_t> take_expired() override
    {
        std::vector<std::uint64_t> expired;
        std::erase_if(waiting_,
                      [&](admission::admission_request const& it)
                      {
                          if (it.deadline > clock_.now())
                              return false;
                          expired.push_back(it.id);
                          return true;
                      });
        return expired;
    }
    std::vector<admission::queue_refusal> take_hopeless() override
    {
        auto res = std::exchange(hopeless, {});
        for (auto const& it : res)
            withdraw(it.id);
        return res;
    }
    /// Returned by the next call of `take_hopeless`.
    std::vector<admission::queue_refusal> hopeless;
    std::uint64_t first_waiting() const { return waiting_.at(0).id; }
    bool withdraw(std::uint64_t id) override
    {
        return std::erase_if(waiting_,
                             [&](admission::admission_request const& it)
                             { return it.id == id; }) > 0;
    }
    void finish(std::uint64_t id, std::chrono::milliseconds) override
    {
        running_.erase(id);
    }
    void drain() override { draining_ = true; }
    bool draining() const override { return draining_; }
    std::size_t running() const override { return running_.size(); }
    std::size_t queued() const override { return waiting_.size(); }
    std::size_t capacity() const override { return capacity_; }
    std::chrono::milliseconds estimated_wait() const override
    {
        return std::chrono::milliseconds(0);
    }

private:
    std::deque<admission::admission_request> waiting_;
    std::set<std::uint64_t> running_;
    std::size_t capacity_ = 1;
    bool draining_ = false;
};

class fake_buffer : public admission::i_stream_buffer
{
public:
    static constexpr std::size_t limit = 1000;

    std::uint64_t append(std::string bytes) override
    {
        chunks_[next_] = std::move(bytes);
        return next_++;
    }
    void acknowledge(std::uint64_t next) override
    {
        chunks_.erase(chunks_.begin(), chunks_.lower_bound(next));
    }
    std::uint64_t first() const override
    {
        return chunks_.empty() ? next_ : chunks_.begin()->first;
    }
    std::uint64_t next() const override { return next_; }
    std::string const* find(std::uint64_t number) const override
    {
        auto const it = chunks_.find(number);
        return it == chunks_.end() ? nullptr : &it->second;
    }
    bool full() const override { return bytes() >= limit; }
    std::size_t bytes() const override
    {
        std::size_t n = 0;
        for (auto const& [number, it] : chunks_)
            n += it.size();
        return n;
    }

private:
    std::map<std::uint64_t, std::string> chunks_;
    std::uint64_t next_ = 0;
};

/// Completes requests when the test calls `grant` or `respond`.
class fake_ledger : public admission::i_idempotency_ledger
{
public:
    void begin(kernel::workspace_id const&, std::string const&,
               kernel::hash128 const&, kernel::steady_time,
               handler on_done) override
    {
        waiting.push_back(std::move(on_done));
    }
    void complete(admission::claim const&,
                  admission::stored_answer const* answer) override
    {
        if (answer != nullptr)
            completed.emplace_back(*answer);
        else
            completed.emplace_back(std::nullopt);
    }
    void release(admission::claim const&) override { ++released; }
    void tick() override {}

    void grant()
    {
        auto const handler = waiting.at(0);
        waiting.erase(waiting.begin());
        handler(admission::claim_decision(admission::claim{"row", 1, "me"}));
    }
    void respond(kernel::result<admission::claim_decision> decision)
    {
        auto const handler = waiting.at(0);
        waiting.erase(waiting.begin());
        handler(std::move(decision));
    }

    std::vector<handler> waiting;
    std::vector<std::optional<admission::stored_answer>> completed;
    int released = 0;
};

class fake_cache_index : public admission::i_cache_index
{
public:
    void reset(kernel::incarnation engine, std::uint64_t last_event,
               std::vector<kernel::hash128> const& blocks) override
    {
        incarnation_ = engine;
        last_event_ = last_event;
        blocks_ = blocks.size();
        ++resets;
    }
    apply_outcome apply(admission::cache_event const& event) override
    {
        if (event.engine_incarnation != incarnation_)
            return apply_outcome::other_incarnation;
        if (event.number != last_event_ + 1)
            return apply_outcome::gap;
        ++last_event_;
        ++blocks_;
        return apply_outcome::applied;
    }
    std::uint64_t
    hit_bytes(std::span<wire::prefix_level const> levels) const override
    {
        return levels.empty() ? 0 : levels.back().bytes;
    }
    kernel::incarnation engine_incarnation() const override
    {
        return incarnation_;
    }
    std::size_t blocks() const override { return blocks_; }
    std::uint64_t take_unindexed_blocks() override { return 0; }

    int resets = 0;

private:
    kernel::incarnation incarnation_ = 0;
    std::uint64_t last_event_ = 0;
    std::size_t blocks_ = 0;
};

/// Allows or forbids all traffic.
class fake_configuration : public config::i_configuration
{
public:
    explicit fake_configuration(kernel::config_version version, bool allowing)
        : version_(version)
        , allowing_(allowing)
    {
    }
    kernel::config_version version() const override { return version_; }
    config::workspace_entry const*
    find_workspace(kernel::workspace_id const&) const override
    {
        return nullptr;
    }
    config::model_entry const*
    find_model(kernel::model_id const&) const override
    {
        return nullptr;
    }
    config::service_entry const*
    find_service(kernel::service_id const&) const override
    {
        return nullptr;
    }
    config::endpoint_entry const*
    find_endpoint(kernel::endpoint_id const&) const override
    {
        return entry ? &*entry : nullptr;
    }
    std::vector<kernel::model_id> models() const override { return {}; }
    config::workspace_entry const* authenticate(std::string_view) const override
    {
        return nullptr;
    }
    std::shared_ptr<endpoint_list const>
    allowed_endpoints(config::routing_key const&) const override
    {
        return std::make_shared<endpoint_list const>();
    }
    bool allows(config::routing_key const&,
                kernel::endpoint_id const&) const override
    {
        return allowing_;
    }

    /// Returned for every endpoint id, if set.
    std::optional<config::endpoint_entry> entry;

private:
    kernel::config_version version_;
    bool allowing_;
};

class fake_config_state : public config::i_config_state
{
public:
    std::shared_ptr<config::i_configuration const> current() const override
    {
        return current_;
    }
    kernel::result<kernel::config_version>
    apply(wire::config_update const& update) override
    {
        if (update.to_version > current_->version())
            set(update.to_version);
        return current_->version();
    }
    wire::config_update
    update_since(kernel::config_version known) const override
    {
        return {known, current_->version(), true, "{}"};
    }
    void subscribe(observer) override {}

    void set_models(std::vector<config::endpoint_model> models)
    {
        auto next =
            std::make_shared<fake_configuration>(current_->version() + 1, true);
        next->entry.emplace();
        next->entry->models = std::move(models);
        current_ = std::move(next);
    }
    void set(kernel::config_version version, bool allowing = true)
    {
        current_ = std::make_shared<fake_configuration>(version, allowing);
    }

private:
    std::shared_ptr<config::i_configuration const> current_ =
        std::make_shared<fake_configuration>(1, true);
};

/// Records requests and sends responses under the control of the test.
class fake_endpoint : public i_endpoint_client
{
public:
    struct started_call
    {
        std::uint64_t id = 0;
        endpoint_request request;
        i_endpoint_observer* observer = nullptr;
    };

    void start(std::uint64_t id, endpoint_request request,
               i_endpoint_observer& observer) override
    {
        started.push_back({id, std::move(request), &observer});
    }
    void pause(std::uint64_t id) override { paused.insert(id); }
    void resume(std::uint64_t id) override { paused.erase(id); }
    void cancel(std::uint64_t id) override { cancelled.push_back(id); }
    void load(handler<engine_load> on_done) override
    {
        loads.push_back(std::move(on_done));
    }
    void list_blocks(handler<cache_listing> on_done) override
    {
        listings.push_back(std::move(on_done));
    }
    void events(std::uint64_t after, std::chrono::milliseconds,
                handler<std::vector<admission::cache_event>> on_done) override
    {
        event_polls.emplace_back(after, std::move(on_done));
    }
    void order(engine_order const& new_order,
               handler<kernel::done> on_done) override
    {
        orders.emplace_back(new_order, std::move(on_done));
    }

    void send_chunk(std::size_t n, std::string bytes)
    {
        started.at(n).observer->on_chunk(started.at(n).id, std::move(bytes));
    }
    void send_notices(std::size_t n, endpoint_notices const& notices)
    {
        started.at(n).observer->on_notices(started.at(n).id, notices);
    }
    void name_limit(std::size_t n, availability::limit_notice const& notice)
    {
        endpoint_notices notices;
        notices.limit = notice;
        send_notices(n, notices);
    }
    void finish(std::size_t n, std::optional<kernel::error> failure = {})
    {
        endpoint_result end;
        end.failure = std::move(failure);
        end.http_status = 200;
        end.content_type = "text/event-stream";
        started.at(n).observer->on_end(started.at(n).id, end);
    }

    std::vector<started_call> started;
    std::set<std::uint64_t> paused;
    std::vector<std::uint64_t> cancelled;
    std::vector<handler<engine_load>> loads;
    std::vector<handler<cache_listing>> listings;
    std::vector<
        std::pair<std::uint64_t, handler<std::vector<admission::cache_event>>>>
        event_polls;
    std::vector<std::pair<engine_order, handler<kernel::done>>> orders;
};

} // namespace endiveward::agent

#endif

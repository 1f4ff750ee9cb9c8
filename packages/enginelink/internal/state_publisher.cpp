#include "enginelink/state_publisher.hpp"

#include "enginelink/i_row_source.hpp"
#include "enginelink/link_options.hpp"
#include "wire/acceptor.hpp"
#include "wire/connection_options.hpp"
#include "wire/i_connection.hpp"
#include "wire/i_connection_observer.hpp"

#include <algorithm>

namespace endiveward::enginelink
{

namespace
{

constexpr std::chrono::milliseconds min_load_interval{250};

bool equal_except_load(wire::engine_state a, wire::engine_state const& b)
{
    a.running = b.running;
    a.waiting = b.waiting;
    a.unanswered = b.unanswered;
    a.routers = b.routers;
    a.memory_used = b.memory_used;
    return a == b;
}

} // namespace

class state_publisher::observer : public wire::i_connection_observer
{
public:
    observer(kernel::i_clock const& clock, i_row_source& rows)
        : clock_(clock)
        , rows_(rows)
    {
    }

    void on_open(std::shared_ptr<wire::i_connection> const& conn) override
    {
        routers_.push_back(conn);
        conn->send(state_);
        wire::cache_change all;
        all.reset = true;
        for (auto const& [key, tokens] : parts_)
            all.parts.push_back({key, tokens});
        conn->send(all);
    }

    void on_message(std::shared_ptr<wire::i_connection> const& conn,
                    wire::message msg) override
    {
        if (auto const* request = std::get_if<wire::table_request>(&msg))
            conn->send(wire::table_rows{rows_.rows_after(request->after)});
        else if (auto const* response = std::get_if<wire::table_rows>(&msg))
            rows_.merge(response->rows);
    }

    void on_closed(std::shared_ptr<wire::i_connection> const& conn,
                   kernel::error const&) override
    {
        std::erase(routers_, conn);
    }

    void publish(wire::engine_state state)
    {
        state.routers = static_cast<std::uint32_t>(routers_.size());
        auto const now = clock_.now();
        auto const only_load_differs = equal_except_load(state, state_);
        if (state == state_ ||
            (only_load_differs && now - last_sent_at_ < min_load_interval))
            return;
        state_ = state;
        last_sent_at_ = now;
        send(state);
    }

    void publish_cache(bool reset, std::vector<wire::cached_part> parts)
    {
        if (reset)
            parts_.clear();
        for (auto const& it : parts)
        {
            if (it.tokens == 0)
                parts_.erase(it.key);
            else
                parts_[it.key] = it.tokens;
        }
        if (reset || !parts.empty())
            send(wire::cache_change{reset, std::move(parts)});
    }

    void request_rows() { send(wire::table_request{rows_.version()}); }

    void close()
    {
        for (auto const& it : routers_)
            it->close();
    }

    std::size_t routers() const { return routers_.size(); }

private:
    void send(wire::message const& msg)
    {
        for (auto const& it : routers_)
            it->send(msg);
    }

    kernel::i_clock const& clock_;
    i_row_source& rows_;
    std::vector<std::shared_ptr<wire::i_connection>> routers_;
    wire::engine_state state_;
    kernel::steady_time last_sent_at_{};
    std::unordered_map<std::uint64_t, std::uint32_t> parts_;
};

state_publisher::state_publisher(
    kernel::thread_pool& pool, kernel::i_clock const& clock,
    wire::cluster_key key,
    std::shared_ptr<wire::i_local_identity const> identity, i_row_source& rows)
    : observer_(std::make_shared<observer>(clock, rows))
    , acceptor_(std::make_unique<wire::acceptor>(
          pool,
          make_link_options(std::move(key), std::move(identity), observer_)))
{
}

state_publisher::~state_publisher() = default;

kernel::result<std::uint16_t>
state_publisher::listen(std::string const& address, std::uint16_t port)
{
    return acceptor_->listen(address, port);
}

void state_publisher::publish(wire::engine_state const& state)
{
    observer_->publish(state);
}

void state_publisher::publish_cache(bool reset,
                                    std::vector<wire::cached_part> parts)
{
    observer_->publish_cache(reset, std::move(parts));
}

void state_publisher::request_rows()
{
    observer_->request_rows();
}

void state_publisher::close()
{
    acceptor_->stop();
    observer_->close();
}

std::size_t state_publisher::routers() const
{
    return observer_->routers();
}

} // namespace endiveward::enginelink

#include "enginelink/state_publisher.hpp"

#include "availability/part_quarantine.hpp"
#include "availability/reported_limits.hpp"
#include "enginelink/i_row_source.hpp"
#include "enginelink/link_options.hpp"
#include "enginelink/report_scheduler.hpp"
#include "facts/fact_relay.hpp"
#include "kernel/thread_pool.hpp"
#include "resumption/origin_table.hpp"
#include "wire/acceptor.hpp"
#include "wire/connection_options.hpp"
#include "wire/i_connection.hpp"
#include "wire/i_connection_observer.hpp"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <limits>
#include <memory>
#include <utility>

namespace endiveward::enginelink
{

namespace
{

/// After a crash of many engines, hundreds of routers report at the same
/// moment; each gets one message.
constexpr std::chrono::milliseconds part_report_delay{60};
/// Until a request is reported, other routers may send one in its place.
constexpr std::chrono::milliseconds limit_report_delay{10};
/// Batches the reports of many routers.
constexpr std::chrono::milliseconds fact_report_delay{50};

} // namespace

class state_publisher::observer : public wire::i_connection_observer,
                                  public std::enable_shared_from_this<observer>
{
public:
    observer(asio::io_context& context, kernel::i_clock const& clock,
             i_row_source& rows)
        : clock_(clock)
        , rows_(rows)
        , timer_(context)
        , scheduler_(report_options{})
        , parts_timer_(context)
        , limits_timer_(context)
        , facts_timer_(context)
    {
    }

    void on_open(std::shared_ptr<wire::i_connection> const& conn) override
    {
        routers_.push_back(conn);
        scheduler_.set_routers(routers_.size());
        conn->send(scheduler_.state());
        conn->send(scheduler_.cache());
        announce_era(*conn);
        if (auto const known = parts_.snapshot(clock_.now()); !known.empty())
            send_report(*conn, known);
        if (auto const known = limits_.snapshot(clock_.now()); !known.empty())
            send_report(*conn, known);
        for (auto const& it : facts_.snapshot(clock_.now()))
            send_report(*conn, it);
    }

    void on_message(std::shared_ptr<wire::i_connection> const& conn,
                    wire::message msg) override
    {
        if (auto const* request = std::get_if<wire::table_request>(&msg))
        {
            last_row_request_ = clock_.now();
            conn->send(wire::table_rows{rows_.rows_after(request->after)});
            rows_.on_named_era(request->after.era);
        }
        else if (auto const* response = std::get_if<wire::table_rows>(&msg))
            rows_.merge(response->rows);
        else if (auto const* report = std::get_if<wire::part_report>(&msg))
            pass_on(*report);
        else if (auto const* limits = std::get_if<wire::limit_report>(&msg))
            pass_on(*limits);
        else if (auto const* facts = std::get_if<wire::fact_report>(&msg))
            pass_on(*facts);
        else if (auto const* news = std::get_if<wire::stream_origins>(&msg))
            keep(*news);
        else if (auto const* query = std::get_if<wire::origin_query>(&msg))
            conn->send(answer_to(*query));
    }

    void on_closed(std::shared_ptr<wire::i_connection> const& conn,
                   kernel::error const&) override
    {
        std::erase(routers_, conn);
        scheduler_.set_routers(routers_.size());
    }

    void publish(wire::engine_state state)
    {
        state.routers = static_cast<std::uint32_t>(routers_.size());
        scheduler_.on_state(state);
        report_if_due();
    }

    void publish_cache(bool reset, std::vector<wire::cached_part> const& parts)
    {
        scheduler_.on_cache(reset, parts);
        report_if_due();
    }

    void request_rows() { send(wire::table_request{rows_.position()}); }

    void close()
    {
        closed_ = true;
        timer_.cancel();
        parts_timer_.cancel();
        limits_timer_.cancel();
        facts_timer_.cancel();
        for (auto const& it : routers_)
            it->close();
    }

    std::size_t routers() const { return routers_.size(); }
    std::optional<kernel::steady_time> last_row_request() const
    {
        return last_row_request_;
    }

private:
    /// Routers have no links to each other. What they have learned is kept for
    /// those that connect later.
    void pass_on(wire::part_report const& report)
    {
        parts_.on_report(report, clock_.now());
        append(pending_parts_, report);
        append(pending_parts_, parts_.take_news());
        if (std::exchange(passing_on_, true))
            return;
        parts_timer_.expires_after(part_report_delay);
        parts_timer_.async_wait(
            [weak = weak_from_this()](std::error_code ec)
            {
                auto const self = weak.lock();
                if (ec || self == nullptr)
                    return;
                self->passing_on_ = false;
                auto const all = std::exchange(self->pending_parts_, {});
                for (auto const& it : self->routers_)
                    send_report(*it, all);
            });
    }

    void pass_on(wire::limit_report const& report)
    {
        limits_.on_report(report, clock_.now());
        add(pending_limits_.changes, report.changes);
        add(pending_limits_.requests, report.requests);
        if (std::exchange(passing_on_limits_, true))
            return;
        limits_timer_.expires_after(limit_report_delay);
        limits_timer_.async_wait(
            [weak = weak_from_this()](std::error_code ec)
            {
                auto const self = weak.lock();
                if (ec || self == nullptr)
                    return;
                self->passing_on_limits_ = false;
                auto const all = std::exchange(self->pending_limits_, {});
                for (auto const& it : self->routers_)
                    send_report(*it, all);
            });
    }

    void pass_on(wire::fact_report const& report)
    {
        if (!facts_.on_report(report, clock_.now()) ||
            std::exchange(passing_on_facts_, true))
            return;
        facts_timer_.expires_after(fact_report_delay);
        facts_timer_.async_wait(
            [weak = weak_from_this()](std::error_code ec)
            {
                auto const self = weak.lock();
                if (ec || self == nullptr)
                    return;
                self->passing_on_facts_ = false;
                for (auto const& it :
                     self->facts_.take_pending(self->clock_.now()))
                {
                    for (auto const& router : self->routers_)
                        send_report(*router, it);
                }
            });
    }

    /// A router that ends cannot be asked where its streams began.
    void keep(wire::stream_origins const& news)
    {
        auto const now = clock_.now();
        for (auto const& it : news.origins)
            origins_.add(it, now);
    }

    wire::origin_answer answer_to(wire::origin_query const& query) const
    {
        auto const now = clock_.now();
        return {query.id, origins_.find(query.stream, now),
                origins_.versions_of(query.service, now)};
    }

    template <typename T>
    static void add(std::vector<T>& to, std::vector<T> const& from)
    {
        to.insert(to.end(), from.begin(), from.end());
    }

    static void append(wire::part_report& all, wire::part_report const& more)
    {
        add(all.crashes, more.crashes);
        add(all.served_parts, more.served_parts);
        add(all.refuted_crashes, more.refuted_crashes);
        add(all.tried_parts, more.tried_parts);
    }

    static void send_report(wire::i_connection& conn,
                            wire::part_report const& report)
    {
        if (conn.peer().accepts_part_reports)
            conn.send(report);
    }

    static void send_report(wire::i_connection& conn,
                            wire::limit_report const& report)
    {
        if (conn.peer().accepts_limit_reports)
            conn.send(report);
    }

    static void send_report(wire::i_connection& conn,
                            wire::fact_report const& report)
    {
        if (conn.peer().accepts_facts)
            conn.send(report);
    }

    /// A router may have started after the store was restored from a copy that
    /// lacks what this process has read before. Rows that are known to be
    /// missing are sent at once; otherwise the era tells the router whether to
    /// ask. No rows of this era are requested: after a common failure, each of
    /// hundreds of routers would send the configuration to each agent.
    void announce_era(wire::i_connection& conn)
    {
        auto const position = rows_.position();
        if (position.era == 0)
            return;
        auto missing = rows_.rows_after(position);
        if (!missing.empty())
            conn.send(wire::table_rows{std::move(missing)});
        conn.send(wire::table_request{
            {position.era, std::numeric_limits<std::uint64_t>::max()}});
    }

    void report_if_due()
    {
        auto const due = scheduler_.due_at();
        if (!due || closed_)
            return;
        auto const now = clock_.now();
        if (*due > now)
            return report_at(*due);
        auto const batch = scheduler_.take(now);
        if (batch.state)
            send(*batch.state);
        if (batch.cache)
            send(*batch.cache);
    }

    void report_at(kernel::steady_time at)
    {
        timer_.expires_at(at);
        timer_.async_wait(
            [weak = weak_from_this()](std::error_code ec)
            {
                auto const self = weak.lock();
                if (!ec && self != nullptr)
                    self->report_if_due();
            });
    }

    void send(wire::message const& msg)
    {
        for (auto const& it : routers_)
            it->send(msg);
    }

    kernel::i_clock const& clock_;
    i_row_source& rows_;
    asio::steady_timer timer_;
    report_scheduler scheduler_;
    availability::part_quarantine parts_;
    asio::steady_timer parts_timer_;
    wire::part_report pending_parts_;
    bool passing_on_ = false;
    availability::reported_limits limits_;
    asio::steady_timer limits_timer_;
    wire::limit_report pending_limits_;
    bool passing_on_limits_ = false;
    facts::fact_relay facts_;
    asio::steady_timer facts_timer_;
    bool passing_on_facts_ = false;
    resumption::origin_table origins_;
    std::vector<std::shared_ptr<wire::i_connection>> routers_;
    std::optional<kernel::steady_time> last_row_request_;
    bool closed_ = false;
};

state_publisher::state_publisher(
    kernel::thread_pool& pool, kernel::i_clock const& clock,
    wire::cluster_key key,
    std::shared_ptr<wire::i_local_identity const> identity, i_row_source& rows)
    : observer_(std::make_shared<observer>(pool.context(0), clock, rows))
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
                                    std::vector<wire::cached_part> const& parts)
{
    observer_->publish_cache(reset, parts);
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

std::optional<kernel::steady_time> state_publisher::last_row_request() const
{
    return observer_->last_row_request();
}

std::size_t state_publisher::routers() const
{
    return observer_->routers();
}

} // namespace endiveward::enginelink

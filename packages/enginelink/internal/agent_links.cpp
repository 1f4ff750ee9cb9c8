#include "enginelink/agent_links.hpp"

#include "enginelink/i_engine_listener.hpp"
#include "enginelink/i_row_source.hpp"
#include "enginelink/link_options.hpp"
#include "facts/fact_relay.hpp"
#include "kernel/half_jitter.hpp"
#include "kernel/i_clock.hpp"
#include "kernel/i_random_source.hpp"
#include "kernel/types/result.hpp"
#include "resumption/origin_distribution.hpp"
#include "wire/connection_options.hpp"
#include "wire/connector.hpp"
#include "wire/i_connection.hpp"
#include "wire/i_connection_observer.hpp"
#include "wire/report_relays.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace endiveward::enginelink
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds initial_retry_delay{200};
constexpr milliseconds max_retry_delay{3000};
/// Number of agents from which rows are requested at a time. More than one,
/// because any of them may be cut off from the store as well.
constexpr std::size_t row_request_fanout = 3;

} // namespace

class agent_links::impl : public wire::i_connection_observer,
                          public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context& context, kernel::i_clock const& clock,
         kernel::i_random_source& random, i_engine_listener& listener,
         i_row_source& rows)
        : context_(context)
        , clock_(clock)
        , random_(random)
        , listener_(listener)
        , rows_(rows)
    {
    }

    void set_connector(std::unique_ptr<wire::connector> connector)
    {
        connector_ = std::move(connector);
    }

    void update(std::vector<agent_address> const& agents)
    {
        std::map<kernel::endpoint_id, agent_address> wanted;
        for (auto const& it : agents)
            wanted.emplace(it.endpoint, it);
        for (auto it = links_.begin(); it != links_.end();)
        {
            auto const found = wanted.find(it->first);
            if (found != wanted.end() && found->second == it->second->address)
            {
                ++it;
                continue;
            }
            auto const removed = it->second;
            it = links_.erase(it);
            close_link(*removed);
        }
        for (auto const& [id, address] : wanted)
        {
            auto& entry = links_[id];
            if (entry != nullptr)
                continue;
            entry = std::make_shared<link>(context_, address);
            connect(entry);
        }
    }

    void request_rows()
    {
        std::vector<std::shared_ptr<link>> open;
        for (auto const& [id, it] : links_)
        {
            if (it->connection != nullptr)
                open.push_back(it);
        }
        for (std::size_t n = 0; n < row_request_fanout && !open.empty(); ++n)
        {
            auto const index =
                static_cast<std::size_t>(random_.next() % open.size());
            open[index]->connection->send(
                wire::table_request{rows_.position()});
            open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }

    void send_row(wire::table_row const& row)
    {
        sent_rows_[row.key] = row;
        wire::table_rows const msg{{row}};
        for (auto const& [id, it] : links_)
        {
            if (it->connection != nullptr)
                it->connection->send(msg);
        }
    }

    /// A crash of many engines costs a few messages a router.
    void send_part_report(wire::part_report const& report)
    {
        send_to_relays(report, &wire::hello::accepts_part_reports);
    }

    void send_limit_report(wire::limit_report const& report)
    {
        send_to_relays(report, &wire::hello::accepts_limit_reports);
    }

    void send_fact_report(wire::fact_report const& report)
    {
        sent_facts_.merge(report.facts, clock_.now());
        send_to_relays(report, &wire::hello::accepts_facts);
    }

    void send_to_relays(wire::message const& msg, bool wire::hello::*accepts)
    {
        std::vector<wire::relay_candidate> open;
        for (auto const& [id, it] : links_)
        {
            if (it->connection != nullptr && it->connection->peer().*accepts)
                open.push_back({id, it->connection.get()});
        }
        for (auto* const it : wire::choose_report_relays(std::move(open)))
            it->send(msg);
    }

    void send_stream_origins(wire::stream_origins const& news)
    {
        send(origins_.add(news, clock_.now()));
    }

    std::size_t send_origin_query(wire::origin_query const& query)
    {
        std::size_t asked = 0;
        for (auto const& it : origins_.keepers_of(query.stream))
        {
            auto const found = agents_.find(it);
            if (found == agents_.end())
                continue;
            found->second.back()->send(query);
            ++asked;
        }
        return asked;
    }

    void close()
    {
        auto const all = std::move(links_);
        links_.clear();
        agents_.clear();
        for (auto const& [id, it] : all)
            close_link(*it);
    }

    std::size_t connected() const
    {
        return static_cast<std::size_t>(std::count_if(
            links_.begin(), links_.end(),
            [](auto const& it) { return it.second->connection != nullptr; }));
    }

    void on_open(std::shared_ptr<wire::i_connection> const&) override {}

    void on_message(std::shared_ptr<wire::i_connection> const& conn,
                    wire::message msg) override
    {
        auto const owner = find_link(conn);
        if (owner == nullptr)
            return;
        auto const& id = owner->address.endpoint;
        if (auto const* state = std::get_if<wire::engine_state>(&msg))
            listener_.on_engine_state(id, *state);
        else if (auto const* change = std::get_if<wire::cache_change>(&msg))
            listener_.on_cache_change(id, *change);
        else if (auto const* request = std::get_if<wire::table_request>(&msg))
        {
            conn->send(wire::table_rows{rows_.rows_after(request->after)});
            rows_.on_named_era(request->after.era);
            request_lost_rows(*conn, request->after.era);
        }
        else if (auto const* response = std::get_if<wire::table_rows>(&msg))
            rows_.merge(response->rows);
        else if (auto const* report = std::get_if<wire::part_report>(&msg))
            listener_.on_part_report(*report);
        else if (auto const* limits = std::get_if<wire::limit_report>(&msg))
            listener_.on_limit_report(*limits);
        else if (auto const* facts = std::get_if<wire::fact_report>(&msg))
            listener_.on_fact_report(*facts);
        else if (auto const* answer = std::get_if<wire::origin_answer>(&msg))
            listener_.on_origin_answer(*answer);
    }

    void on_closed(std::shared_ptr<wire::i_connection> const& conn,
                   kernel::error const&) override
    {
        auto const owner = find_link(conn);
        if (owner == nullptr)
            return;
        by_connection_.erase(conn.get());
        owner->connection = nullptr;
        remove_agent(*conn);
        listener_.on_link_lost(owner->address.endpoint);
        retry(owner);
    }

private:
    struct link
    {
        link(asio::io_context& context, agent_address at)
            : address(std::move(at))
            , timer(context)
        {
        }

        agent_address address;
        asio::steady_timer timer;
        std::shared_ptr<wire::i_connection> connection;
        milliseconds retry_delay{0};
        bool closed = false;
    };

    std::shared_ptr<link>
    find_link(std::shared_ptr<wire::i_connection> const& conn) const
    {
        auto const found = by_connection_.find(conn.get());
        return found == by_connection_.end() ? nullptr : found->second;
    }

    void close_link(link& it)
    {
        it.closed = true;
        it.timer.cancel();
        if (it.connection == nullptr)
            return;
        by_connection_.erase(it.connection.get());
        remove_agent(*it.connection);
        it.connection->close();
        it.connection = nullptr;
    }

    /// An agent that still has an older era may know rows that the copy lacks
    /// from which the store was restored.
    void request_lost_rows(wire::i_connection& conn, std::uint64_t agent_era)
    {
        auto const position = rows_.position();
        if (agent_era >= position.era)
            return;
        if (std::exchange(lost_rows_era_, position.era) != position.era)
            lost_row_requests_ = 0;
        if (lost_row_requests_ >= row_request_fanout)
            return;
        ++lost_row_requests_;
        conn.send(wire::table_request{position});
    }

    void connect(std::shared_ptr<link> const& it)
    {
        connector_->connect(
            context_, it->address.host, it->address.port,
            [weak = weak_from_this(),
             it](kernel::result<std::shared_ptr<wire::i_connection>> res)
            {
                auto const self = weak.lock();
                if (self == nullptr)
                    return;
                if (!kernel::ok(res))
                    return self->retry(it);
                auto conn = kernel::value(std::move(res));
                if (it->closed)
                    return conn->close();
                self->by_connection_[conn.get()] = it;
                it->connection = std::move(conn);
                it->retry_delay = milliseconds(0);
                self->send_known_rows(*it->connection);
                self->send_known_facts(*it->connection);
                self->add_agent(*it->connection);
            });
    }

    /// Agents of engines at one address are the same process.
    void add_agent(wire::i_connection& conn)
    {
        if (!conn.peer().accepts_stream_origins)
            return;
        auto const& agent = conn.peer().process;
        agents_[agent].push_back(&conn);
        send(origins_.add_agent(agent, clock_.now()));
    }

    void remove_agent(wire::i_connection& conn)
    {
        auto const found = agents_.find(conn.peer().process);
        if (found == agents_.end())
            return;
        std::erase(found->second, &conn);
        if (!found->second.empty())
            return;
        agents_.erase(found);
        send(origins_.remove_agent(conn.peer().process, clock_.now()));
    }

    void send(resumption::origin_distribution::parcels const& parcels)
    {
        for (auto const& [agent, news] : parcels)
        {
            if (auto const found = agents_.find(agent); found != agents_.end())
                found->second.back()->send(news);
        }
    }

    /// Rows that were sent on an earlier connection may have been lost with it.
    void send_known_rows(wire::i_connection& conn) const
    {
        wire::table_rows msg;
        for (auto const& [key, row] : sent_rows_)
            msg.rows.push_back(row);
        if (!msg.rows.empty())
            conn.send(msg);
    }

    void send_known_facts(wire::i_connection& conn) const
    {
        if (!conn.peer().accepts_facts)
            return;
        for (auto const& it :
             facts::to_reports(sent_facts_.snapshot(clock_.now())))
            conn.send(it);
    }

    void retry(std::shared_ptr<link> const& it)
    {
        if (it->closed)
            return;
        it->retry_delay = std::clamp(it->retry_delay * 2, initial_retry_delay,
                                     max_retry_delay);
        it->timer.expires_after(kernel::half_jitter(it->retry_delay, random_));
        it->timer.async_wait(
            [weak = weak_from_this(), it](std::error_code ec)
            {
                auto const self = weak.lock();
                if (!ec && self != nullptr && !it->closed)
                    self->connect(it);
            });
    }

    asio::io_context& context_;
    kernel::i_clock const& clock_;
    kernel::i_random_source& random_;
    i_engine_listener& listener_;
    i_row_source& rows_;
    std::unique_ptr<wire::connector> connector_;
    std::map<kernel::endpoint_id, std::shared_ptr<link>> links_;
    /// Open links. Each message needs its link, and a router of a large fleet
    /// receives hundreds a second.
    std::unordered_map<wire::i_connection const*, std::shared_ptr<link>>
        by_connection_;
    /// The row of each key that was sent last. Its content is the newest; its
    /// position may be lower than before if the store was restored.
    std::map<std::string, wire::table_row> sent_rows_;
    /// Requests for rows that the store lost before this era.
    std::uint64_t lost_rows_era_ = 0;
    std::size_t lost_row_requests_ = 0;
    facts::fact_table sent_facts_;
    resumption::origin_distribution origins_;
    /// Open connections to each agent that keeps origins of streams.
    std::unordered_map<kernel::process_id, std::vector<wire::i_connection*>>
        agents_;
};

agent_links::agent_links(asio::io_context& context,
                         kernel::i_clock const& clock,
                         kernel::i_random_source& random, wire::cluster_key key,
                         std::shared_ptr<wire::i_local_identity const> identity,
                         i_engine_listener& listener, i_row_source& rows)
    : impl_(std::make_shared<impl>(context, clock, random, listener, rows))
{
    impl_->set_connector(std::make_unique<wire::connector>(
        make_link_options(std::move(key), std::move(identity),
                          std::shared_ptr<wire::i_connection_observer>(
                              std::shared_ptr<void>(), impl_.get()))));
}

agent_links::~agent_links() = default;

void agent_links::update(std::vector<agent_address> const& agents)
{
    impl_->update(agents);
}

void agent_links::request_rows()
{
    impl_->request_rows();
}

void agent_links::send_row(wire::table_row const& row)
{
    impl_->send_row(row);
}

void agent_links::send_part_report(wire::part_report const& report)
{
    impl_->send_part_report(report);
}

void agent_links::send_limit_report(wire::limit_report const& report)
{
    impl_->send_limit_report(report);
}

void agent_links::send_fact_report(wire::fact_report const& report)
{
    impl_->send_fact_report(report);
}

void agent_links::send_stream_origins(wire::stream_origins const& news)
{
    impl_->send_stream_origins(news);
}

std::size_t agent_links::send_origin_query(wire::origin_query const& query)
{
    return impl_->send_origin_query(query);
}

void agent_links::close()
{
    impl_->close();
}

std::size_t agent_links::connected() const
{
    return impl_->connected();
}

} // namespace endiveward::enginelink

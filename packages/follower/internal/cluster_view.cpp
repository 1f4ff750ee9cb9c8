#include "follower/cluster_view.hpp"

#include "follower/i_cluster_observer.hpp"
#include "follower/i_entry_decoder.hpp"
#include "gateway/routing_table.hpp"
#include "observe/decision_log.hpp"

#include <algorithm>

namespace endiveward::follower
{

namespace
{

/// Grace period for entries that expired during an outage of the store. The
/// platform guarantees that the entry of a live endpoint that reaches the store
/// is back within about 2 s of the store's return; one still missing after that
/// is gone.
constexpr std::chrono::milliseconds reregistration_grace{2400};

} // namespace

class cluster_view::operators_listener : public i_table_listener
{
public:
    explicit operators_listener(cluster_view& view)
        : view_(view)
    {
    }

    void on_rows(std::vector<storage::table_row> const& changed,
                 kernel::store_position const& position) override
    {
        for (auto const& it : changed)
        {
            if (!it.deleted)
                view_.on_operator_row(it);
        }
        // Rows that another process has passed on come without a position
        // until the table has been read.
        if (position != kernel::store_position())
            view_.operator_rows_known_ = true;
    }

    void on_reachability_change(bool reachable,
                                std::string const& reason) override
    {
        view_.log_.write("store_contact", "table=operators reachable={} {}",
                         reachable, reason);
    }

private:
    cluster_view& view_;
};

class cluster_view::endpoints_listener : public i_table_listener
{
public:
    explicit endpoints_listener(cluster_view& view)
        : view_(view)
    {
    }

    void on_rows(std::vector<storage::table_row> const& changed,
                 kernel::store_position const&) override
    {
        view_.on_endpoint_rows(changed);
    }

    void on_reachability_change(bool reachable,
                                std::string const& reason) override
    {
        view_.on_endpoints_reachability_change(reachable, reason);
    }

private:
    cluster_view& view_;
};

cluster_view::cluster_view(asio::io_context& context,
                           kernel::i_clock const& clock,
                           i_entry_decoder const& decoder,
                           i_cluster_observer& observer,
                           observe::decision_log& log)
    : clock_(clock)
    , decoder_(decoder)
    , observer_(observer)
    , log_(log)
    , operators_(std::make_unique<operators_listener>(*this))
    , endpoints_(std::make_unique<endpoints_listener>(*this))
    , expiry_timer_(context)
{
}

cluster_view::~cluster_view() = default;

i_table_listener& cluster_view::operator_rows_listener()
{
    return *operators_;
}

i_table_listener& cluster_view::endpoint_rows_listener()
{
    return *endpoints_;
}

bool cluster_view::complete() const
{
    return config_version_ != 0 && endpoints_known_;
}

void cluster_view::on_operator_row(storage::table_row const& row)
{
    auto decoded = decoder_.decode_operator_row(row.key, row.value);
    if (!kernel::ok(decoded))
    {
        log_.write("entry_ignored",
                   "table=operators key={} row_version={} "
                   "reason=\"{}\"",
                   row.key, row.position.version,
                   kernel::failure(decoded).message);
        return;
    }
    std::visit(
        kernel::overloaded{
            [&](gateway::routing_config& config)
            {
                if (config.version <= config_version_)
                    return;
                config_version_ = config.version;
                observer_.on_configuration(
                    std::make_shared<gateway::routing_table const>(
                        std::move(config)));
            },
            [&](weights::model_target const& target)
            {
                auto& known = targets_[target.model];
                if (target.version <= known)
                    return;
                known = target.version;
                observer_.on_target(target, row,
                                    operator_rows_known_
                                        ? std::optional(clock_.now())
                                        : std::nullopt);
            },
            [](unrelated_row) {}},
        kernel::value(decoded));
}

void cluster_view::on_endpoint_rows(std::vector<storage::table_row> const& rows)
{
    auto const now = clock_.now();
    auto const in_grace_period =
        reachable_since_ && now - *reachable_since_ < reregistration_grace;
    for (auto const& it : rows)
    {
        std::erase(expired_, it.key);
        if (it.deleted)
        {
            auto const found = entries_.find(it.key);
            if (found == entries_.end())
                continue;
            if (in_grace_period && !found->second.draining)
                expired_.push_back(it.key);
            else
                entries_.erase(found);
            log_.write("endpoint_removed",
                       "endpoint={} row_version={} "
                       "held_back={}",
                       it.key, it.position.version, in_grace_period);
            continue;
        }
        auto decoded = decoder_.decode_endpoint_row(it.key, it.value);
        if (kernel::ok(decoded))
        {
            auto const& entry = kernel::value(decoded);
            log_.write("endpoint_entry",
                       "endpoint={} incarnation={} service={} address={}:{} "
                       "draining={} row_version={}",
                       it.key, entry.incarnation, entry.service.str(),
                       entry.host, entry.port, entry.draining,
                       it.position.version);
            entries_[it.key] = entry;
            continue;
        }
        // An endpoint with an unreadable entry must not be used.
        entries_.erase(it.key);
        log_.write("entry_ignored",
                   "table=endpoints key={} row_version={} "
                   "reason=\"{}\"",
                   it.key, it.position.version,
                   kernel::failure(decoded).message);
    }
    endpoints_known_ = true;
    if (!expired_.empty())
    {
        expiry_timer_.expires_at(*reachable_since_ + reregistration_grace);
        expiry_timer_.async_wait(
            [this](std::error_code ec)
            {
                if (!ec)
                    remove_expired();
            });
    }
    publish_endpoints();
}

void cluster_view::on_endpoints_reachability_change(bool reachable,
                                                    std::string const& reason)
{
    log_.write("store_contact", "table=endpoints reachable={} {}", reachable,
               reason);
    if (reachable)
        reachable_since_ = clock_.now();
}

void cluster_view::remove_expired()
{
    for (auto const& it : expired_)
        entries_.erase(it);
    expired_.clear();
    publish_endpoints();
}

void cluster_view::publish_endpoints()
{
    observer_.on_endpoints(endpoint_list());
}

std::vector<gateway::endpoint_entry> cluster_view::endpoint_list() const
{
    std::vector<gateway::endpoint_entry> res;
    res.reserve(entries_.size());
    for (auto const& [key, it] : entries_)
        res.push_back(it);
    return res;
}

} // namespace endiveward::follower

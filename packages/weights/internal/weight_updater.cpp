#include "weights/weight_updater.hpp"

#include <algorithm>

namespace endiveward::weights
{

weight_updater::weight_updater(weight_updater_options options)
    : options_(std::move(options))
{
}

void weight_updater::set_target(kernel::model_id const& model,
                                weight_version version,
                                kernel::steady_time announced_at,
                                kernel::steady_time scheduled_start)
{
    auto& entry = targets_[model];
    if (version < entry.version)
        return;
    entry.version = version;
    entry.announcement_times.emplace(version, announced_at);
    entry.scheduled_start = scheduled_start;
}

void weight_updater::on_report(engine_report const& report)
{
    auto const restarted =
        report_ && report_->incarnation != report.incarnation;
    auto const accepted =
        report_ && report_->orders_accepted != report.orders_accepted;
    if (restarted || accepted)
        sent_at_.reset();
    report_ = report;
}

void weight_updater::on_outcome(load_order const& order, order_outcome outcome)
{
    if (outcome == order_outcome::fenced)
        fencing_number_ = std::max(fencing_number_, order.fencing_number + 1);
    if (outcome == order_outcome::conflict || outcome == order_outcome::fenced)
        sent_at_.reset();
}

std::optional<load_order> weight_updater::next_order(kernel::steady_time now)
{
    if (!report_ || report_->busy)
        return std::nullopt;
    if (sent_at_ && now - *sent_at_ < options_.resend_after)
        return std::nullopt;
    for (auto const& [model, entry] : targets_)
    {
        if (!is_outdated(model, entry.version) || now < due_at(model, entry))
            continue;
        auto const idle = report_->running + report_->waiting == 0;
        if (!idle && now < due_at(model, entry) + options_.drain_timeout)
            continue;
        load_order res;
        res.model = model;
        res.version = entry.version;
        res.running_requests = running_request_policy::keep;
        res.holder = options_.holder;
        res.fencing_number = fencing_number_;
        res.orders_accepted = report_->orders_accepted;
        sent_at_ = now;
        return res;
    }
    return std::nullopt;
}

bool weight_updater::has_outdated_model() const
{
    return std::any_of(targets_.begin(), targets_.end(),
                       [this](auto const& it)
                       { return is_outdated(it.first, it.second.version); });
}

bool weight_updater::reloading(kernel::steady_time now) const
{
    if (report_ && report_->busy)
        return true;
    return std::any_of(targets_.begin(), targets_.end(),
                       [&](auto const& it)
                       {
                           return is_outdated(it.first, it.second.version) &&
                                  now >= due_at(it.first, it.second);
                       });
}

bool weight_updater::is_outdated(kernel::model_id const& model,
                                 weight_version version) const
{
    if (!report_)
        return false;
    auto const found = report_->models.find(model);
    return found != report_->models.end() && found->second < version;
}

// The engine may be replaced by one with older weights at any time, so the
// oldest version that it lacks follows from its last report.
kernel::steady_time weight_updater::due_at(kernel::model_id const& model,
                                           target const& entry) const
{
    auto const loaded = report_->models.at(model);
    auto const missed = entry.announcement_times.upper_bound(loaded);
    return std::min(entry.scheduled_start,
                    missed->second + options_.max_start_delay);
}

} // namespace endiveward::weights

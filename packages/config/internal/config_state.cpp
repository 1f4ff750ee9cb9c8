#include "config/config_state.hpp"

#include "config/apply_change.hpp"
#include "config/config_json.hpp"
#include "config/configuration.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace endiveward::config
{

namespace
{

kernel::error make_error(kernel::error_kind kind, std::string message)
{
    return {kind, std::move(message), kernel::run_state::not_run, std::nullopt};
}

} // namespace

std::string changes_body(std::vector<std::string> const& changes)
{
    return fmt::format("[{}]", fmt::join(changes, ","));
}

config_state::config_state(std::size_t max_recent_changes)
    : max_recent_changes_(max_recent_changes)
    , current_(std::make_shared<configuration const>())
{
}

std::shared_ptr<i_configuration const> config_state::current() const
{
    return current_.load();
}

std::shared_ptr<configuration const> config_state::compiled() const
{
    return current_.load();
}

kernel::result<kernel::config_version>
config_state::apply(wire::config_update const& update)
{
    std::lock_guard const lock(apply_mutex_);
    auto const version = current_.load()->version();
    if (update.to_version <= version)
        return version;
    return update.snapshot ? apply_snapshot(update) : apply_changes(update);
}

kernel::result<kernel::config_version>
config_state::apply_snapshot(wire::config_update const& update)
{
    auto parsed = parse_config_data(update.body);
    if (!kernel::ok(parsed))
        return kernel::failure(parsed);
    auto data =
        std::make_shared<config_data const>(std::move(kernel::value(parsed)));
    if (data->version != update.to_version)
        return make_error(
            kernel::error_kind::invalid_request,
            fmt::format("snapshot of version {} was sent as version "
                        "{}; request another one",
                        data->version, update.to_version));
    auto compiled = configuration::compile(std::move(data));
    if (!kernel::ok(compiled))
        return kernel::failure(compiled);
    publish(kernel::value(compiled), {});
    return update.to_version;
}

kernel::result<kernel::config_version>
config_state::apply_changes(wire::config_update const& update)
{
    auto const before = current_.load();
    auto const version = before->version();
    if (update.from_version > version)
        return make_error(
            kernel::error_kind::stale_configuration,
            fmt::format("the update starts at version {}, above {}; "
                        "request one from there",
                        update.from_version, version));
    auto const list = nlohmann::json::parse(update.body, nullptr, false);
    if (!list.is_array() ||
        list.size() != update.to_version - update.from_version)
        return make_error(
            kernel::error_kind::invalid_request,
            "the update does not hold one change for each version; "
            "request another one");
    auto data = *before->data();
    std::deque<std::string> recent;
    {
        std::lock_guard const lock(recent_mutex_);
        recent = recent_;
    }
    for (auto i = version - update.from_version; i < list.size(); ++i)
    {
        auto text = list[i].dump();
        auto const parsed = parse_change(text);
        if (!kernel::ok(parsed))
            return kernel::failure(parsed);
        if (auto const res = apply_change(data, kernel::value(parsed));
            !kernel::ok(res))
            return kernel::failure(res);
        recent.push_back(std::move(text));
    }
    auto compiled = configuration::compile(
        std::make_shared<config_data const>(std::move(data)));
    if (!kernel::ok(compiled))
        return kernel::failure(compiled);
    publish(kernel::value(compiled), std::move(recent));
    return update.to_version;
}

void config_state::publish(compiled_pointer const& next,
                           std::deque<std::string> recent)
{
    while (recent.size() > max_recent_changes_)
        recent.pop_front();
    std::vector<observer> observers;
    {
        std::lock_guard const lock(recent_mutex_);
        recent_ = std::move(recent);
        recent_version_ = next->version();
        current_.store(next);
        observers = observers_;
    }
    for (auto const& it : observers)
        it(next);
}

wire::config_update
config_state::update_since(kernel::config_version known) const
{
    compiled_pointer current;
    {
        std::lock_guard const lock(recent_mutex_);
        if (known >= recent_version_)
            return {recent_version_, recent_version_, false, "[]"};
        auto const missing = recent_version_ - known;
        if (missing <= recent_.size())
            return {known, recent_version_, false,
                    changes_body(
                        {recent_.end() - static_cast<std::ptrdiff_t>(missing),
                         recent_.end()})};
        current = current_.load();
    }
    return {0, current->version(), true, to_json(*current->data()).dump()};
}

void config_state::subscribe(observer on_change)
{
    std::lock_guard const lock(recent_mutex_);
    observers_.push_back(std::move(on_change));
}

} // namespace endiveward::config

#ifndef ENDIVEWARD_ROUTER_TESTS_FAKES_HPP
#define ENDIVEWARD_ROUTER_TESTS_FAKES_HPP

#include "config/i_config_state.hpp"
#include "config/i_configuration.hpp"
#include "config/types/model_entry.hpp"
#include "config/types/routing_key.hpp"
#include "config/types/service_entry.hpp"
#include "config/types/workspace_entry.hpp"
#include "kernel/i_clock.hpp"
#include "placement/i_placement.hpp"
#include "placement/types/endpoint_status.hpp"
#include "placement/types/placement_choice.hpp"
#include "placement/types/placement_request.hpp"
#include "storage/i_vm_list.hpp"
#include "wire/types/load_report.hpp"
#include "wire/types/verdict.hpp"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <unordered_map>

namespace endiveward::router
{

/// Configuration with the workspace `w` (API key `key`), the model `m` in
/// version `1` and the service `gate`. All traffic may use all endpoints of the
/// list.
class fake_configuration : public config::i_configuration
{
public:
    fake_configuration(kernel::config_version version, endpoint_list endpoints)
        : version_(version)
        , endpoints_(std::make_shared<endpoint_list>(std::move(endpoints)))
    {
        workspace.id = kernel::workspace_id("w");
        model.id = kernel::model_id("m");
        model.versions = {{kernel::model_version("1"), {}}};
        service.id = kernel::service_id("gate");
        service.idempotent_operations = {{"GET", "/status"}};
    }

    kernel::config_version version() const override { return version_; }
    config::workspace_entry const*
    find_workspace(kernel::workspace_id const& id) const override
    {
        return id == workspace.id ? &workspace : nullptr;
    }
    config::model_entry const*
    find_model(kernel::model_id const& id) const override
    {
        return id == model.id ? &model : nullptr;
    }
    config::service_entry const*
    find_service(kernel::service_id const& id) const override
    {
        return id == service.id ? &service : nullptr;
    }
    config::endpoint_entry const*
    find_endpoint(kernel::endpoint_id const&) const override
    {
        return nullptr;
    }
    std::vector<kernel::model_id> models() const override { return {model.id}; }
    config::workspace_entry const*
    authenticate(std::string_view api_key) const override
    {
        return api_key == "key" ? &workspace : nullptr;
    }
    std::shared_ptr<endpoint_list const>
    allowed_endpoints(config::routing_key const&) const override
    {
        return endpoints_;
    }
    bool allows(config::routing_key const&,
                kernel::endpoint_id const& endpoint) const override
    {
        return std::find(endpoints_->begin(), endpoints_->end(), endpoint) !=
               endpoints_->end();
    }

    config::workspace_entry workspace;
    config::model_entry model;
    config::service_entry service;

private:
    kernel::config_version version_;
    std::shared_ptr<endpoint_list const> endpoints_;
};

/// Applies an update by adopting its version; the content is ignored.
class fake_config_state : public config::i_config_state
{
public:
    explicit fake_config_state(std::shared_ptr<fake_configuration const> value)
        : current_(std::move(value))
    {
    }

    std::shared_ptr<config::i_configuration const> current() const override
    {
        std::lock_guard const lock(mutex_);
        return current_;
    }
    kernel::result<kernel::config_version>
    apply(wire::config_update const& update) override
    {
        std::vector<observer> observers;
        std::shared_ptr<config::i_configuration const> changed;
        {
            std::lock_guard const lock(mutex_);
            if (update.to_version <= current_->version())
                return current_->version();
            current_ = std::make_shared<fake_configuration>(
                update.to_version, *current_->allowed_endpoints({}));
            changed = current_;
            observers = observers_;
        }
        for (auto const& it : observers)
            it(changed);
        return changed->version();
    }
    wire::config_update
    update_since(kernel::config_version known) const override
    {
        return {known, current()->version(), true, "{}"};
    }
    void subscribe(observer on_change) override
    {
        std::lock_guard const lock(mutex_);
        observers_.push_back(std::move(on_change));
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<fake_configuration const> current_;
    std::vector<observer> observers_;
};

/// Chooses the first allowed endpoint that is available and counts calls in
/// flight.
class fake_placement : public placement::i_placement
{
public:
    void update_endpoint(placement::endpoint_status const& status) override
    {
        std::lock_guard const lock(mutex_);
        available_[status.id] = status.available;
    }
    void remove_endpoint(kernel::endpoint_id const& id) override
    {
        std::lock_guard const lock(mutex_);
        available_.erase(id);
    }
    kernel::result<placement::placement_choice>
    choose(placement::placement_request const& request) override
    {
        std::lock_guard const lock(mutex_);
        for (auto const& it : *request.allowed)
        {
            auto const excluded =
                std::find(request.excluded.begin(), request.excluded.end(),
                          it) != request.excluded.end();
            auto const found = available_.find(it);
            if (!excluded && found != available_.end() && found->second)
                return placement::placement_choice{it, 0, {}};
        }
        return kernel::error{kernel::error_kind::no_eligible_endpoint,
                             "no endpoint is available; retry later",
                             kernel::run_state::not_run,
                             {}};
    }
    void on_sent(placement::placement_request const&,
                 kernel::endpoint_id const&) override
    {
        std::lock_guard const lock(mutex_);
        ++in_flight_;
    }
    void on_verdict(placement::placement_request const&,
                    kernel::endpoint_id const&, wire::verdict const&) override
    {
    }
    void on_finished(placement::placement_request const&,
                     kernel::endpoint_id const&,
                     wire::load_report const*) override
    {
        std::lock_guard const lock(mutex_);
        --in_flight_;
    }

    int in_flight() const
    {
        std::lock_guard const lock(mutex_);
        return in_flight_;
    }
    bool is_available(kernel::endpoint_id const& id) const
    {
        std::lock_guard const lock(mutex_);
        auto const it = available_.find(id);
        return it != available_.end() && it->second;
    }

private:
    mutable std::mutex mutex_;
    std::unordered_map<kernel::endpoint_id, bool> available_;
    int in_flight_ = 0;
};

/// Clock that only a test advances. Safe for concurrent use.
class thread_safe_manual_clock : public kernel::i_clock
{
public:
    kernel::steady_time now() const override
    {
        return kernel::steady_time(std::chrono::nanoseconds(elapsed_.load()));
    }
    kernel::wall_time wall_now() const override { return {}; }
    void advance(std::chrono::nanoseconds step) { elapsed_ += step.count(); }

private:
    std::atomic<std::int64_t> elapsed_{0};
};

/// Returns the same list each time.
class fake_vm_list : public storage::i_vm_list
{
public:
    void list(std::chrono::milliseconds, handler on_done) override
    {
        ++polls;
        on_done(vms);
    }

    std::vector<storage::vm> vms;
    std::atomic<int> polls{0};
};

} // namespace endiveward::router

#endif

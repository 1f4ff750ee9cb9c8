#include "config/change_log_poller.hpp"

#include "config/i_config_state.hpp"
#include "config/i_configuration.hpp"
#include "config/lost_changes.hpp"
#include "kernel/i_random_source.hpp"
#include "storage/i_table.hpp"

#include <mutex>
#include <optional>
#include <utility>

namespace endiveward::config
{

class change_log_poller::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(change_log_reader reader, std::shared_ptr<i_config_state> state,
         std::shared_ptr<kernel::i_clock const> clock,
         std::shared_ptr<kernel::i_random_source> random,
         change_log_poller_options options)
        : reader_(std::move(reader))
        , state_(std::move(state))
        , clock_(std::move(clock))
        , random_(std::move(random))
        , options_(std::move(options))
        , next_read_(clock_->now())
    {
    }

    void tick()
    {
        {
            std::lock_guard const lock(mutex_);
            if (read_in_progress_ || clock_->now() < next_read_)
                return;
            read_in_progress_ = true;
        }
        read();
    }

    void stop()
    {
        std::lock_guard const lock(mutex_);
        stopped_ = true;
    }

    kernel::steady_time next_read() const
    {
        std::lock_guard const lock(mutex_);
        return next_read_;
    }

    bool store_up() const
    {
        std::lock_guard const lock(mutex_);
        return store_up_.value_or(false);
    }

    std::optional<kernel::steady_time> last_up_to_date() const
    {
        std::lock_guard const lock(mutex_);
        return last_up_to_date_;
    }

private:
    void read()
    {
        reader_.read(state_->current()->version(),
                     [weak = weak_from_this()](
                         kernel::result<change_log_read_result> const& res)
                     {
                         if (auto const self = weak.lock())
                             self->on_read(res);
                     });
    }

    void on_read(kernel::result<change_log_read_result> const& res)
    {
        {
            std::lock_guard const lock(mutex_);
            if (stopped_)
                return;
        }
        report_store_state(kernel::ok(res));
        if (apply(res))
            return read();
        if (kernel::ok(res))
            write_back(kernel::value(res));
        std::lock_guard const lock(mutex_);
        read_in_progress_ = false;
        if (is_up_to_date(res))
            last_up_to_date_ = clock_->now();
        next_read_ = clock_->now() + next_interval();
    }

    /// Returns whether the log holds more changes to read.
    bool apply(kernel::result<change_log_read_result> const& res)
    {
        if (!kernel::ok(res) || !kernel::value(res).update)
            return false;
        auto const& read_result = kernel::value(res);
        auto const version = state_->apply(*read_result.update);
        return kernel::ok(version) &&
               kernel::value(version) < read_result.head_version;
    }

    /// The result is not needed: the next read shows the log as it is then.
    void write_back(change_log_read_result const& log)
    {
        auto transaction = restore_lost_changes(*state_, log);
        if (!transaction)
            return;
        reader_.table()->commit(
            std::move(*transaction), reader_.timeout(),
            [](kernel::result<storage::transaction_outcome> const&) {});
    }

    bool is_up_to_date(kernel::result<change_log_read_result> const& res) const
    {
        return kernel::ok(res) &&
               state_->current()->version() >= kernel::value(res).head_version;
    }

    void report_store_state(bool up)
    {
        {
            std::lock_guard const lock(mutex_);
            if (store_up_ == up)
                return;
            store_up_ = up;
        }
        if (options_.on_store_state)
            options_.on_store_state(up);
    }

    std::chrono::nanoseconds next_interval()
    {
        constexpr double steps = 1U << 20U;
        auto const share =
            static_cast<double>(random_->next() % (1U << 20U)) / steps;
        auto const factor = 1.0 + options_.jitter * (2.0 * share - 1.0);
        return std::chrono::duration_cast<std::chrono::nanoseconds>(
            options_.interval * factor);
    }

    change_log_reader reader_;
    std::shared_ptr<i_config_state> state_;
    std::shared_ptr<kernel::i_clock const> clock_;
    std::shared_ptr<kernel::i_random_source> random_;
    change_log_poller_options options_;
    mutable std::mutex mutex_;
    kernel::steady_time next_read_;
    bool read_in_progress_ = false;
    bool stopped_ = false;
    std::optional<bool> store_up_;
    std::optional<kernel::steady_time> last_up_to_date_;
};

change_log_poller::change_log_poller(
    change_log_reader reader, std::shared_ptr<i_config_state> state,
    std::shared_ptr<kernel::i_clock const> clock,
    std::shared_ptr<kernel::i_random_source> random,
    change_log_poller_options options)
    : impl_(std::make_shared<impl>(std::move(reader), std::move(state),
                                   std::move(clock), std::move(random),
                                   std::move(options)))
{
}

change_log_poller::~change_log_poller()
{
    impl_->stop();
}

void change_log_poller::tick()
{
    impl_->tick();
}

kernel::steady_time change_log_poller::next_read() const
{
    return impl_->next_read();
}

bool change_log_poller::store_up() const
{
    return impl_->store_up();
}

std::optional<kernel::steady_time> change_log_poller::last_up_to_date() const
{
    return impl_->last_up_to_date();
}

} // namespace endiveward::config

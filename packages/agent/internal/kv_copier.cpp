#include "agent/internal/kv_copier.hpp"

#include <utility>

namespace endiveward::agent
{

namespace
{

/// One copy under way; its handlers keep it alive.
class kv_transfer : public std::enable_shared_from_this<kv_transfer>
{
    std::shared_ptr<kernel::i_clock const> clock_;
    std::shared_ptr<i_kv_endpoint> source_;
    std::shared_ptr<i_kv_endpoint> target_;

public:
    kv_transfer(std::shared_ptr<kernel::i_clock const> clock,
                std::shared_ptr<i_kv_endpoint> source,
                std::shared_ptr<i_kv_endpoint> target, kv_manifest manifest,
                kernel::steady_time end, kv_copier::handler on_done)
        : clock_(std::move(clock))
        , source_(std::move(source))
        , target_(std::move(target))
        , manifest_(std::move(manifest))
        , end_(end)
        , on_done_(std::move(on_done))
    {
    }

    // A block is useless to the engine without all blocks before it.
    void copy_next()
    {
        if (copied_ == manifest_.blocks.size() || clock_->now() >= end_)
            return on_done_(copied_);
        source_->export_block(
            manifest_.space, manifest_.blocks[copied_],
            [self = shared_from_this()](kernel::result<std::string> res)
            { self->on_exported(std::move(res)); });
    }

private:
    void on_exported(kernel::result<std::string> res)
    {
        if (!kernel::ok(res) || clock_->now() >= end_)
            return on_done_(copied_);
        target_->import_block(
            manifest_.space, manifest_.blocks[copied_],
            kernel::value(std::move(res)),
            [self = shared_from_this()](kernel::result<kernel::done> const& it)
            { self->on_imported(it); });
    }

    void on_imported(kernel::result<kernel::done> const& res)
    {
        if (!kernel::ok(res))
            return on_done_(copied_);
        ++copied_;
        copy_next();
    }

    kv_manifest const manifest_;
    kernel::steady_time const end_;
    kv_copier::handler on_done_;
    std::size_t copied_ = 0;
};

} // namespace

kv_copier::kv_copier(std::shared_ptr<kernel::i_clock const> clock,
                     std::chrono::milliseconds reserve)
    : clock_(std::move(clock))
    , reserve_(reserve)
{
}

void kv_copier::copy(kv_manifest manifest,
                     placement::cache_namespace const& request,
                     kernel::steady_time deadline,
                     std::shared_ptr<i_kv_endpoint> source,
                     std::shared_ptr<i_kv_endpoint> target,
                     handler on_done) const
{
    if (manifest.space != request)
        return on_done(kernel::error{
            kernel::error_kind::invalid_request,
            "the KV cache belongs to another workspace, model, weights version "
            "or adapter; recompute the prefix",
            kernel::run_state::not_run,
            {}});
    std::make_shared<kv_transfer>(clock_, std::move(source), std::move(target),
                                  std::move(manifest), deadline - reserve_,
                                  std::move(on_done))
        ->copy_next();
}

} // namespace endiveward::agent

#include "admission/claim_sweeper.hpp"

#include "admission/types/claim_record.hpp"
#include "storage/i_table.hpp"

namespace endiveward::admission
{

claim_sweeper::claim_sweeper(kernel::i_clock const& clock,
                             storage::i_table& table,
                             kernel::post_function post,
                             std::chrono::milliseconds retention,
                             std::chrono::milliseconds table_timeout)
    : clock_(clock)
    , table_(table)
    , post_(std::move(post))
    , retention_(retention)
    , table_timeout_(table_timeout)
    , batcher_(table, post_, table_timeout)
{
}

void claim_sweeper::tick()
{
    if (scan_in_flight_)
        return;
    scan_in_flight_ = true;
    table_.scan(
        claim_prefix, scan_position_, page_rows, table_timeout_,
        [this, post = post_, alive = std::weak_ptr(lifetime_)](auto const& res)
        {
            post(
                [this, alive, res]
                {
                    if (!alive.expired())
                        on_page(res);
                });
        });
}

void claim_sweeper::on_page(
    kernel::result<std::vector<storage::row>> const& res)
{
    scan_in_flight_ = false;
    if (!kernel::ok(res))
        return;
    auto const& page = kernel::value(res);
    for (auto const& it : page)
    {
        auto const record = decode_claim_record(it.value);
        if (!record || clock_.wall_now() - record->written_at < retention_)
            continue;
        // The version condition prevents the deletion of a row that was written
        // after the scan.
        batcher_.enqueue({{it.key, it.version},
                          {it.key, std::nullopt},
                          [this](row_outcome outcome)
                          {
                              if (outcome == row_outcome::committed)
                                  ++deleted_;
                          }});
    }
    scan_position_ = page.size() < page_rows ? std::string() : page.back().key;
}

} // namespace endiveward::admission

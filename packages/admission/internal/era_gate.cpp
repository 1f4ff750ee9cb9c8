#include "admission/internal/era_gate.hpp"

#include "kernel/parse_number.hpp"
#include "storage/i_table.hpp"

#include <algorithm>
#include <string>

namespace endiveward::admission
{

namespace
{

// Era of a table that has never come back from a copy.
constexpr std::uint64_t first_era = 1;

} // namespace

era_gate::era_gate(kernel::i_clock const& clock, storage::i_table& table,
                   kernel::post_function post,
                   std::chrono::milliseconds timeout)
    : clock_(clock)
    , table_(table)
    , post_(std::move(post))
    , timeout_(timeout)
    , era_since_(clock.now())
{
}

bool era_gate::is_open() const
{
    auto const era = table_.era();
    return era <= first_era || open_era_ == era;
}

std::chrono::milliseconds era_gate::remaining() const
{
    auto const since = table_.era() == known_era_ ? era_since_ : clock_.now();
    auto const left = since + wait - clock_.now();
    constexpr std::chrono::milliseconds least{1000};
    return std::max(
        least, std::chrono::duration_cast<std::chrono::milliseconds>(left));
}

bool era_gate::is_informed() const
{
    // Eras of a table that does not name them never change.
    return table_.era() == 0 ||
           (last_answer_ && clock_.now() - *last_answer_ < 2 * notice_interval);
}

void era_gate::on_answer()
{
    last_answer_ = clock_.now();
    if (table_.era() == known_era_)
        return;
    known_era_ = table_.era();
    era_since_ = clock_.now();
}

void era_gate::tick(bool watch)
{
    // The first read tells a new process the era before its first claim.
    bool const is_due = !last_answer_ || !is_open() ||
                        clock_.now() - *last_answer_ >=
                            (watch ? notice_interval : idle_interval);
    if (is_due && !request_in_flight_)
        read();
}

void era_gate::read()
{
    request_in_flight_ = true;
    table_.read(open_era_key, timeout_,
                [this, post = post_, era = table_.era(),
                 alive = std::weak_ptr(lifetime_)](auto const& res)
                {
                    post(
                        [this, alive, era, res]
                        {
                            if (alive.expired())
                                return;
                            request_in_flight_ = false;
                            if (!kernel::ok(res))
                                return;
                            on_answer();
                            // The era of the answer is certain only if it is
                            // the same before and after the request.
                            if (table_.era() == era)
                                on_row(kernel::value(res));
                        });
                });
}

void era_gate::on_row(std::optional<storage::row> const& row)
{
    if (is_open())
        return;
    // A copy holds an older era in this row, so that only a process that has
    // seen the new one for the whole time can open the gate.
    auto const open =
        row ? kernel::parse_number<std::uint64_t>(row->value) : std::nullopt;
    if (open == known_era_)
        open_era_ = known_era_;
    else if (clock_.now() - era_since_ >= wait)
        write(row ? row->version : 0);
}

void era_gate::write(std::uint64_t row_version)
{
    open_era_ = known_era_;
    // The result is ignored: without the row other processes wait themselves.
    table_.commit({{{open_era_key, row_version}},
                   {{open_era_key, std::to_string(known_era_)}}},
                  timeout_, [](auto const&) {});
}

} // namespace endiveward::admission

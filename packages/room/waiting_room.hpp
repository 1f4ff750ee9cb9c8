#ifndef ENDIVEWARD_ROOM_WAITING_ROOM_HPP
#define ENDIVEWARD_ROOM_WAITING_ROOM_HPP

#include "kernel/i_clock.hpp"
#include "room/drain_estimate.hpp"
#include "room/recent_count.hpp"
#include "room/refused_callers.hpp"
#include "room/types/room_decision.hpp"
#include "room/types/room_settings.hpp"
#include "room/types/waiting_request.hpp"
#include "room/workspace_shares.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace endiveward::room
{

/// The requests of one service that wait at the router for capacity: which of
/// them wait, for how long, in which order they proceed, and which are refused.
/// No I/O.
class waiting_room
{
public:
    waiting_room();
    explicit waiting_room(room_settings settings);

    /// Returns the longest expected wait at an endpoint to which a request is
    /// sent now. `own` is the longest that its target latency allows.
    std::chrono::milliseconds max_wait(std::chrono::milliseconds own,
                                       kernel::steady_time arrived,
                                       kernel::steady_time target_at,
                                       kernel::steady_time now) const;
    /// Decides about a request that arrives, or that waits and asks again. A
    /// request waits from the first decision that says so until another
    /// decision, or until it leaves.
    room_decision decide(waiting_request const& request,
                         capacity_offer const& offer, kernel::steady_time now);
    /// Whether a request has found no capacity lately. Other processes then
    /// probably have requests for whatever becomes free.
    bool is_scarce(kernel::steady_time now) const;
    /// A waiting request is no longer wanted.
    void leave(std::uint64_t ticket, kernel::steady_time now);
    /// The waiting request that is to ask next, besides those that have just
    /// asked.
    std::optional<std::uint64_t> next(std::span<std::uint64_t const> asked,
                                      kernel::steady_time now);
    /// Requests that gave their place to others since the last call. They are
    /// to ask again, and are refused then.
    std::vector<std::uint64_t> take_displaced();
    bool has_displaced() const { return !displaced_.empty(); }
    bool empty() const { return entries_.empty(); }
    std::size_t size() const { return entries_.size(); }

private:
    /// Order within a workspace: latest useful start in steps, priority,
    /// arrival, ticket.
    using place =
        std::tuple<std::int64_t, int, kernel::steady_time, std::uint64_t>;

    struct entry
    {
        waiting_request request;
        kernel::steady_time first_arrival{};
        /// The latest start with which its answer is in time.
        kernel::steady_time latest_start{};
        kernel::steady_time hold_until{};
        bool late = false;
        /// Others may pass it, since no endpoint had memory or a share for it
        /// when it last asked.
        bool is_passed = false;
        bool displaced = false;
    };

    struct lanes
    {
        std::set<place> in_time;
        std::set<place> late;
    };

    /// Order of all, smaller ranks first: late, not starved, latest useful
    /// start in steps, priority, start tag of the workspace, arrival, ticket.
    using rank = std::tuple<bool, bool, std::int64_t, int, double,
                            kernel::steady_time, std::uint64_t>;

    entry make_entry(waiting_request const& request, kernel::steady_time now);
    place place_of(entry const& it) const;
    rank rank_of(entry const& it, kernel::steady_time now) const;
    template <typename Predicate>
    entry const* first(Predicate is_eligible, kernel::steady_time now) const;
    bool precedes_others(entry const& it, kernel::steady_time now) const;
    room_decision start(entry& it, kernel::steady_time now);
    room_decision refuse(entry& it, std::string_view reason,
                         capacity_offer const& offer, kernel::steady_time now);
    bool is_worth_waiting(entry const& it, capacity_offer const& offer,
                          kernel::steady_time now) const;
    double work_ahead_of(entry const& it) const;
    bool make_place_for(entry const& it, kernel::steady_time now);
    std::chrono::milliseconds
    time_to_capacity(entry const& it, double work_ahead,
                     capacity_offer const& offer) const;
    void insert(entry const& it);
    void remove(std::uint64_t ticket);
    void unlink(entry const& it);
    void link(entry const& it);
    void note_pressure(waiting_request const& request, kernel::steady_time now);
    void mark_late(entry& it);
    void mark_overdue(kernel::steady_time now);

    room_settings settings_;
    std::unordered_map<std::uint64_t, entry> entries_;
    std::map<std::uint64_t, lanes> by_workspace_;
    /// Requests that can still be in time, by their latest start.
    std::set<std::pair<kernel::steady_time, std::uint64_t>> by_latest_start_;
    std::vector<std::uint64_t> displaced_;
    workspace_shares shares_;
    refused_callers refused_;
    drain_estimate drain_;
    recent_count late_;
    /// The shortest wait that was too long for a request lately, and when.
    std::chrono::milliseconds pressed_wait_ = std::chrono::milliseconds::max();
    std::optional<kernel::steady_time> pressed_at_;
    std::optional<kernel::steady_time> scarce_at_;
    /// When one that could still be in time found no capacity.
    std::optional<kernel::steady_time> in_time_lacked_at_;
    std::size_t displaced_count_ = 0;
    double in_time_work_ = 0;
    double late_work_ = 0;
    std::size_t bytes_ = 0;
};

} // namespace endiveward::room

#endif

#ifndef ENDIVEWARD_AVAILABILITY_PART_QUARANTINE_HPP
#define ENDIVEWARD_AVAILABILITY_PART_QUARANTINE_HPP

#include "availability/types/quarantine_settings.hpp"
#include "availability/types/request_keys.hpp"
#include "kernel/i_clock.hpp"
#include "wire/types/part_report.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace endiveward::availability
{

/// Decides from crashes of endpoints which prompt parts and which whole
/// requests must not be sent to endpoints for a time, because they probably
/// cause the crashes. A request that comes again has the same key; in the
/// following, it counts as its own last part.
class part_quarantine
{
public:
    using part_key = std::uint64_t;
    using crash_key = std::uint64_t;

    /// A part that this process did not suspect of this crash before.
    struct suspicion
    {
        part_key part = 0;
        std::size_t crashes = 0;
        /// Zero if the part is not quarantined.
        std::chrono::milliseconds quarantine{0};
        /// It is a whole request.
        bool whole_request = false;
    };

    /// `seed` should differ between processes.
    explicit part_quarantine(quarantine_settings settings = {},
                             std::uint64_t seed = 0);

    /// An endpoint crashed, as far as known, before it sent any output for a
    /// request with these parts, in the order of the prompt.
    std::vector<suspicion> on_crash(crash_key crash, request_keys const& keys,
                                    kernel::steady_time now);
    /// This process has given up a request with these parts that the endpoint
    /// may have begun to run. If the endpoint crashes soon, or has crashed just
    /// now, the request may be the cause.
    std::vector<suspicion> on_abandoned(crash_key crash,
                                        request_keys const& keys,
                                        kernel::steady_time now);
    /// No connection to the endpoint can be established. If a request was given
    /// up there shortly before, it has probably crashed.
    std::vector<suspicion> on_unreachable(crash_key crash,
                                          kernel::steady_time now);
    /// A request with these parts was sent to an endpoint. Returns true if it
    /// is the first one after a quarantine.
    bool on_sent(request_keys const& keys, kernel::steady_time now);
    /// A request with these parts was answered completely. Returns the number
    /// of parts that are no longer suspected.
    std::size_t on_served(request_keys const& keys, kernel::steady_time now);
    /// The endpoint sent bytes. Returns true if this shows that it did not
    /// crash.
    bool on_endpoint_active(crash_key crash, kernel::steady_time now);
    /// Another process has sent this report.
    std::vector<suspicion> on_report(wire::part_report const& report,
                                     kernel::steady_time now);

    /// When the last quarantine of these parts ends, or the trial of one after
    /// it; no value if a request with them may be sent.
    std::optional<kernel::steady_time>
    quarantined_until(request_keys const& keys, kernel::steady_time now) const;
    /// Whether `on_endpoint_active` may refute a crash.
    bool has_open_crashes(kernel::steady_time now) const
    {
        return now <= crashes_open_until_;
    }
    /// Number of parts that are suspected or quarantined.
    std::size_t suspects() const { return suspects_.size(); }

    /// Returns what this process has learned since the last call, for other
    /// processes.
    wire::part_report take_news();
    /// Returns all that is known, for a process that has just connected.
    wire::part_report snapshot(kernel::steady_time now) const;

private:
    struct suspect
    {
        std::map<crash_key, kernel::steady_time> crashes;
        std::uint32_t depth = 0;
        kernel::steady_time last_crash{};
        kernel::steady_time trial_until{};
    };

    struct abandoned_request
    {
        crash_key endpoint = 0;
        request_keys keys;
        kernel::steady_time at{};
    };

    void add_suspects(crash_key crash, request_keys const& keys,
                      kernel::steady_time now, std::vector<suspicion>& out);
    void add_abandoned(crash_key crash, kernel::steady_time now,
                       std::vector<suspicion>& out);
    std::optional<suspicion> add(wire::part_crash const& crash,
                                 kernel::steady_time now);
    void open_crash(crash_key crash, kernel::steady_time at);
    void remove_crash(crash_key crash, kernel::steady_time now);
    void forget_expired(kernel::steady_time now);
    bool forget_weakest();
    void remember_served(part_key part, kernel::steady_time now);
    bool recently_served(part_key part, kernel::steady_time crash_at) const;
    std::chrono::milliseconds duration_after(std::size_t crashes) const;
    kernel::steady_time quarantine_end(part_key part, suspect const& it) const;
    bool has_better_explanation(part_key part, suspect const& it) const;

    quarantine_settings settings_;
    std::uint64_t seed_;
    std::unordered_map<part_key, suspect> suspects_;
    /// When parts were last in a complete answer.
    std::unordered_map<part_key, kernel::steady_time> served_;
    /// Crashes that may still be refuted, and when they were noticed.
    std::unordered_map<crash_key, kernel::steady_time> open_crashes_;
    kernel::steady_time crashes_open_until_{};
    /// Crashes that were refuted, and when. Their reports may arrive later.
    std::unordered_map<crash_key, kernel::steady_time> refuted_;
    /// Oldest first.
    std::deque<abandoned_request> abandoned_;
    wire::part_report news_;
};

} // namespace endiveward::availability

#endif

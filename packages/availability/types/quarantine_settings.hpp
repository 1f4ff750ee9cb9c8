#ifndef ENDIVEWARD_AVAILABILITY_TYPES_QUARANTINE_SETTINGS_HPP
#define ENDIVEWARD_AVAILABILITY_TYPES_QUARANTINE_SETTINGS_HPP

#include <chrono>
#include <cstddef>

namespace endiveward::availability
{

/// Settings of `part_quarantine`.
struct quarantine_settings
{
    /// Crashes of different endpoints after which a part is quarantined. One
    /// may be a coincidence.
    std::size_t min_crashes = 2;
    /// Duration of the first quarantine; each further crash multiplies it by
    /// `growth`, up to `max_duration`.
    std::chrono::milliseconds first_duration{15000};
    int growth = 8;
    std::chrono::milliseconds max_duration{600000};
    /// Processes end a quarantine spread over this time, so that one of them
    /// sends the first request and the others learn of its result.
    std::chrono::milliseconds return_spread{15000};
    /// Time for the result of the first request after a quarantine. Others with
    /// the part are refused until then.
    std::chrono::milliseconds trial_time{5000};
    /// How long a part stays suspected after its last crash.
    std::chrono::milliseconds suspicion_retention{1200000};
    /// A part is not suspected if it was served within this time before the
    /// crash.
    std::chrono::milliseconds served_retention{10000};
    /// An endpoint that sends bytes within this time after a supposed crash has
    /// not crashed. Earlier bytes may have been on their way, later ones may
    /// come from its next incarnation.
    std::chrono::milliseconds min_refutation_delay{100};
    std::chrono::milliseconds max_refutation_delay{1000};
    /// An endpoint that crashes within this time after a request was given up
    /// there may have crashed under it.
    std::chrono::milliseconds abandoned_retention{1000};
    std::size_t max_abandoned = 1024;
    /// Limits of memory. Beyond them, the oldest suspicions of a single crash
    /// are forgotten.
    std::size_t max_suspects = 1024;
    std::size_t max_served = 8192;
    std::size_t max_crashes_per_part = 8;
};

} // namespace endiveward::availability

#endif

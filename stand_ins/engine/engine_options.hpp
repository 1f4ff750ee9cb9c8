#ifndef ENDIVEWARD_STAND_INS_ENGINE_OPTIONS_HPP
#define ENDIVEWARD_STAND_INS_ENGINE_OPTIONS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace endiveward::stand_ins
{

struct engine_options
{
    std::size_t capacity = 16;
    std::size_t cache_blocks = 4096;
    std::uint64_t prefill_bytes_per_second = 40'000;
    std::chrono::milliseconds token_interval{5};
    /// `model@version,...`
    std::string weights;
    bool checks_fencing = true;
    std::chrono::milliseconds load_lag{200};
    std::chrono::milliseconds event_lag{50};
    double event_loss = 0.0;
    std::uint64_t seed = 1;
    /// The platform stand-in; if empty, loading takes `load_time`.
    std::string weights_url;
    std::chrono::milliseconds load_time{1000};
    /// How long a stream without a connection is kept.
    std::chrono::milliseconds stream_retention{10'000};
};

} // namespace endiveward::stand_ins

#endif

#ifndef ENDIVEWARD_FOLLOWER_TYPES_ERA_NOTICE_HPP
#define ENDIVEWARD_FOLLOWER_TYPES_ERA_NOTICE_HPP

#include <cstdint>
#include <string>

namespace endiveward::follower
{

/// What a follower has noticed about the eras of the store.
struct era_notice
{
    enum class kind : std::uint8_t
    {
        /// The store was restored from a copy; the table is read again.
        newer,
        /// An answer of an older era was ignored.
        older,
        /// Answers name no era that can be read.
        unnamed
    };

    kind what = kind::newer;
    /// Newest era before the notice.
    std::uint64_t known = 0;
    /// Era that the answer or the other process named; 0 if none.
    std::uint64_t named = 0;
    std::string reason;
};

} // namespace endiveward::follower

#endif

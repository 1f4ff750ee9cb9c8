#ifndef ENDIVEWARD_STORAGE_TYPES_FEED_ERROR_HPP
#define ENDIVEWARD_STORAGE_TYPES_FEED_ERROR_HPP

#include <cstdint>
#include <string>

namespace endiveward::storage
{

/// Why a call to a followed table gave no rows.
struct feed_error
{
    enum class reason
    {
        /// The store no longer has the changes since that version; the table
        /// must be read as a whole.
        history_lost,
        /// The store answered that it did nothing: it is busy or turns this
        /// process away.
        refused,
        /// No answer, or none that can be read.
        unreachable
    };

    reason why = reason::unreachable;
    std::string message;
    /// Era of the store that the answer names; 0 if it names none.
    std::uint64_t era = 0;
    /// Why an answer names no era; empty if it names one or if there was no
    /// answer.
    std::string era_reason = {};
};

} // namespace endiveward::storage

#endif

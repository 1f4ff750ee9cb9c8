#ifndef ENDIVEWARD_STAND_INS_TABLE_STORE_HPP
#define ENDIVEWARD_STAND_INS_TABLE_STORE_HPP

#include "kernel/i_clock.hpp"
#include "platform/undo_log.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace endiveward::stand_ins
{

struct table_row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

/// The rows of the transactional table. Not safe for concurrent use.
class table_store
{
public:
    struct condition
    {
        std::string key;
        /// 0: the row must not exist.
        std::uint64_t version = 0;
    };
    struct write
    {
        std::string key;
        /// None deletes the row.
        std::optional<std::string> value;
    };

    /// Gives the keys whose conditions failed; if there is none, all writes
    /// took effect.
    std::vector<std::string> commit(std::vector<condition> const& conditions,
                                    std::vector<write> const& writes,
                                    kernel::steady_time now = {});
    /// Brings back rows and versions as they were at that time; versions given
    /// out since are given out again.
    void restore(kernel::steady_time time) { undo_.rewind(time); }
    std::optional<table_row> read(std::string const& key) const;
    std::vector<table_row> scan(std::string const& prefix,
                                std::string const& after,
                                std::size_t limit) const;
    std::size_t size() const { return rows_.size(); }

private:
    std::map<std::string, table_row> rows_;
    /// Writes of each key. Deleted rows keep their count, so that a row that is
    /// written again never has an earlier version.
    std::map<std::string, std::uint64_t> writes_;
    undo_log undo_;
};

} // namespace endiveward::stand_ins

#endif

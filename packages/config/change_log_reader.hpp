#ifndef ENDIVEWARD_CONFIG_CHANGE_LOG_READER_HPP
#define ENDIVEWARD_CONFIG_CHANGE_LOG_READER_HPP

#include "kernel/types/identifiers.hpp"
#include "kernel/types/result.hpp"
#include "storage/types/row.hpp"
#include "wire/types/config_update.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace endiveward::storage
{
class i_object_store;
class i_table;
} // namespace endiveward::storage

namespace endiveward::config
{

/// Keys of the change log in the platform's table and object store.
std::string head_key();
std::string log_key(kernel::config_version version);
std::string change_key(std::string const& change_id);
/// Row that holds the version of the last complete snapshot.
std::string snapshot_row_key();
std::string snapshot_object_key(kernel::config_version version);

/// Parses the value of a row as a version number.
std::optional<kernel::config_version> parse_version(std::string const& text);

/// The part of the change log that follows a known version.
struct change_log_read_result
{
    /// The head row; nothing before the first change.
    std::optional<storage::row> head;
    kernel::config_version head_version = 0;
    /// Era of the table in which the head row was read.
    std::uint64_t era = 0;
    /// The next changes, at most `change_log_reader::page_size`, or a snapshot
    /// if the log no longer holds them. Nothing if the known version is up to
    /// date.
    std::optional<wire::config_update> update;
};

/// Reads the change log. Safe for concurrent use.
class change_log_reader
{
public:
    using handler = std::function<void(kernel::result<change_log_read_result>)>;

    static constexpr std::size_t page_size = 256;

    change_log_reader(std::shared_ptr<storage::i_table> table,
                      std::shared_ptr<storage::i_object_store> objects,
                      std::chrono::milliseconds timeout);

    /// Reads the changes that follow a version. The handler is called exactly
    /// once, on any thread, possibly after this object is destroyed. Errors
    /// have kind `store_unavailable`.
    void read(kernel::config_version known, handler on_done) const;
    std::shared_ptr<storage::i_table> const& table() const { return table_; }
    std::chrono::milliseconds timeout() const { return timeout_; }

private:
    struct operation;

    std::shared_ptr<storage::i_table> table_;
    std::shared_ptr<storage::i_object_store> objects_;
    std::chrono::milliseconds timeout_;
};

} // namespace endiveward::config

#endif

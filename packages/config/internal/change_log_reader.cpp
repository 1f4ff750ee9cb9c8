#include "config/change_log_reader.hpp"

#include "config/config_state.hpp"
#include "kernel/parse_number.hpp"
#include "storage/i_object_store.hpp"
#include "storage/i_table.hpp"

#include <fmt/format.h>

#include <utility>

namespace endiveward::config
{

namespace
{

constexpr char const* log_prefix = "config/log/";

kernel::error read_error(std::string message)
{
    return {kernel::error_kind::store_unavailable, std::move(message),
            kernel::run_state::not_run, std::nullopt};
}

} // namespace

std::string head_key()
{
    return "config/head";
}

std::string log_key(kernel::config_version version)
{
    // Fixed width, so that keys sort by version.
    return fmt::format("{}{:020}", log_prefix, version);
}

std::string change_key(std::string const& change_id)
{
    return fmt::format("config/changes/{}", change_id);
}

std::string snapshot_row_key()
{
    return "config/snapshot";
}

std::string snapshot_object_key(kernel::config_version version)
{
    return fmt::format("config/snapshots/{:020}", version);
}

std::optional<kernel::config_version> parse_version(std::string const& text)
{
    return kernel::parse_number<kernel::config_version>(text);
}

/// State of one read; kept alive by the handlers of its requests.
struct change_log_reader::operation : std::enable_shared_from_this<operation>
{
    std::shared_ptr<storage::i_table> table;
    std::shared_ptr<storage::i_object_store> objects;
    std::chrono::milliseconds timeout;
    kernel::config_version known = 0;
    handler on_done;
    change_log_read_result read_result;

    /// Wraps a step in a handler that ends the operation on failure.
    template <typename T, typename Step>
    std::function<void(kernel::result<T>)> then(Step step)
    {
        return [self = shared_from_this(), step](kernel::result<T> res)
        {
            if (!kernel::ok(res))
                return self->on_done(kernel::failure(res));
            (self.get()->*step)(std::move(kernel::value(res)));
        };
    }

    void start()
    {
        table->read(head_key(), timeout,
                    then<std::optional<storage::row>>(&operation::on_head_row));
    }

    void on_head_row(std::optional<storage::row> head)
    {
        read_result.era = table->era();
        if (head)
        {
            auto const version = parse_version(head->value);
            if (!version)
                return on_done(
                    read_error("the head row of the change log holds no "
                               "version number; restore it"));
            read_result.head_version = *version;
        }
        read_result.head = std::move(head);
        if (read_result.head_version <= known)
            return on_done(std::move(read_result));
        table->scan(log_prefix, log_key(known), page_size, timeout,
                    then<std::vector<storage::row>>(&operation::on_log_rows));
    }

    void on_log_rows(std::vector<storage::row> rows)
    {
        std::vector<std::string> changes;
        for (auto& it : rows)
        {
            // A stale read may end before the head version, but log rows never
            // change.
            if (it.key != log_key(known + changes.size() + 1))
                break;
            changes.push_back(std::move(it.value));
        }
        if (changes.empty())
            return table->read(
                snapshot_row_key(), timeout,
                then<std::optional<storage::row>>(&operation::on_snapshot_row));
        read_result.update = wire::config_update{known, known + changes.size(),
                                                 false, changes_body(changes)};
        on_done(std::move(read_result));
    }

    void on_snapshot_row(std::optional<storage::row> pointer)
    {
        auto const version =
            pointer ? parse_version(pointer->value) : std::nullopt;
        if (!version || *version <= known)
            return on_done(read_error("the change log that was read is older "
                                      "than its head row; retry"));
        read_result.update = wire::config_update{0, *version, true, {}};
        objects->get(
            snapshot_object_key(*version), timeout,
            then<std::optional<std::string>>(&operation::on_snapshot_object));
    }

    void on_snapshot_object(std::optional<std::string> bytes)
    {
        if (!bytes)
            return on_done(read_error("the snapshot of the configuration is "
                                      "missing; retry"));
        read_result.update->body = std::move(*bytes);
        on_done(std::move(read_result));
    }
};

change_log_reader::change_log_reader(
    std::shared_ptr<storage::i_table> table,
    std::shared_ptr<storage::i_object_store> objects,
    std::chrono::milliseconds timeout)
    : table_(std::move(table))
    , objects_(std::move(objects))
    , timeout_(timeout)
{
}

void change_log_reader::read(kernel::config_version known,
                             handler on_done) const
{
    auto const op = std::make_shared<operation>();
    op->table = table_;
    op->objects = objects_;
    op->timeout = timeout_;
    op->known = known;
    op->on_done = std::move(on_done);
    op->start();
}

} // namespace endiveward::config

#ifndef ENDIVEWARD_CONFIG_INTERNAL_SETTINGS_READER_HPP
#define ENDIVEWARD_CONFIG_INTERNAL_SETTINGS_READER_HPP

#include "kernel/types/socket_address.hpp"

#include <toml++/toml.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endiveward::config
{

/// Reads typed values from a parsed TOML file and collects all errors. Keys
/// that are never read count as unknown.
class settings_reader
{
public:
    enum class need
    {
        required,
        optional
    };

    settings_reader(std::string file, toml::table const& root);

    /// Leaves `out` unchanged if the key is absent or the value invalid.
    void text(std::string_view table, std::string_view key, need presence,
              std::string& out);
    void integer(std::string_view table, std::string_view key,
                 std::int64_t min_value, std::int64_t max_value,
                 std::int64_t& out);
    void real(std::string_view table, std::string_view key, double min_value,
              double max_value, double& out);
    /// Reads an integer number of milliseconds.
    void milliseconds(std::string_view table, std::string_view key,
                      std::int64_t min_value, std::int64_t max_value,
                      std::chrono::milliseconds& out);
    void address(std::string_view table, std::string_view key,
                 kernel::socket_address& out);
    void addresses(std::string_view table, std::string_view key,
                   std::vector<kernel::socket_address>& out);
    void url(std::string_view table, std::string_view key, need presence,
             std::string& out);
    /// Returns the index of the value in `choices`; nothing if the key is
    /// absent or the value invalid.
    std::optional<std::size_t>
    choice(std::string_view table, std::string_view key,
           std::initializer_list<std::string_view> choices);
    /// Reads a secret from `<name>_file` or from the environment variable that
    /// `<name>_env` names. Exactly one of the two keys must be present.
    void secret(std::string_view table, std::string_view name,
                std::size_t min_bytes, std::string& out);

    /// Records an error for a key with file and line; `problem` says what is
    /// wrong and how to correct it.
    void fail(std::string_view table, std::string_view key,
              std::string_view problem);
    /// Records an error for every key that was not read.
    void reject_unknown_keys();
    /// All errors, one per line; empty if there are none.
    std::string errors() const;

private:
    toml::node const* find(std::string_view table, std::string_view key);
    toml::node const* find(std::string_view table, std::string_view key,
                           need presence);
    std::optional<kernel::socket_address>
    parse_address(std::string_view text) const;
    std::string resolve_path(std::string const& path) const;
    void fail_at(std::size_t line, std::string const& key,
                 std::string_view problem);
    std::size_t line_of(std::string_view table, std::string_view key) const;

    std::string file_;
    toml::table const& root_;
    std::set<std::pair<std::string, std::string>> known_;
    std::vector<std::string> errors_;
};

} // namespace endiveward::config

#endif

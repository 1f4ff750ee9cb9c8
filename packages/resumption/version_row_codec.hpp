#ifndef ENDIVEWARD_RESUMPTION_VERSION_ROW_CODEC_HPP
#define ENDIVEWARD_RESUMPTION_VERSION_ROW_CODEC_HPP

#include "kernel/types/identifiers.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace endiveward::resumption
{

struct version_row;

/// The table of software versions in the platform's store.
inline constexpr char const* version_table = "software_versions";
/// Key of the row that tells since when all versions are recorded. Keys of
/// versions contain a slash.
inline constexpr char const* record_start_key = "since";

/// Since when all software versions are recorded, in the store's clock; none
/// if since the first start of the deployment.
struct record_start
{
    std::optional<std::chrono::milliseconds> since;

    bool operator==(record_start const&) const = default;
};

std::string row_key(kernel::service_id const& service,
                    kernel::software_version const& software);
std::string encode(version_row const& row);
std::string encode(record_start const& start);
std::optional<version_row> decode_version_row(std::string const& value);
std::optional<record_start> decode_record_start(std::string const& value);

} // namespace endiveward::resumption

#endif

#include "resumption/version_row_codec.hpp"

#include "resumption/types/version_row.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <exception>

namespace endiveward::resumption
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

/// The store accepts keys of 200 bytes.
constexpr std::size_t max_key = 200;

milliseconds time_of(json const& object, char const* name)
{
    return milliseconds(object.at(name).get<std::int64_t>());
}

} // namespace

std::string row_key(kernel::service_id const& service,
                    kernel::software_version const& software)
{
    auto res = service.str() + "/" + software.str();
    if (res.size() <= max_key)
        return res;
    return fmt::format("/{:016x}", XXH3_64bits(res.data(), res.size()));
}

std::string encode(version_row const& row)
{
    json res{{"service", row.service.str()},
             {"version", row.software.str()},
             {"listed_ms", row.listed.count()}};
    if (row.gone)
        res["gone_ms"] = row.gone->count();
    return res.dump();
}

std::string encode(record_start const& start)
{
    return start.since ? json{{"since_ms", start.since->count()}}.dump()
                       : json{{"first_start", true}}.dump();
}

std::optional<version_row> decode_version_row(std::string const& value)
{
    try
    {
        auto const object = json::parse(value);
        version_row res;
        res.service =
            kernel::service_id(object.at("service").get<std::string>());
        res.software =
            kernel::software_version(object.at("version").get<std::string>());
        res.listed = time_of(object, "listed_ms");
        if (object.contains("gone_ms"))
            res.gone = time_of(object, "gone_ms");
        return res;
    }
    catch (std::exception const&)
    {
        return std::nullopt;
    }
}

std::optional<record_start> decode_record_start(std::string const& value)
{
    try
    {
        auto const object = json::parse(value);
        if (object.value("first_start", false))
            return record_start();
        return record_start{time_of(object, "since_ms")};
    }
    catch (std::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace endiveward::resumption

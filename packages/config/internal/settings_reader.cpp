#include "config/internal/settings_reader.hpp"

#include <asio/ip/address.hpp>
#include <curl/curl.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>

namespace endiveward::config
{

namespace
{

bool is_http_url(std::string const& text)
{
    std::unique_ptr<CURLU, decltype(&curl_url_cleanup)> url(curl_url(),
                                                            &curl_url_cleanup);
    if (curl_url_set(url.get(), CURLUPART_URL, text.c_str(), 0) != CURLUE_OK)
        return false;
    return text.starts_with("http://") || text.starts_with("https://");
}

void trim_end(std::string& text)
{
    while (!text.empty() && std::string_view(" \t\r\n").find(text.back()) !=
                                std::string_view::npos)
        text.pop_back();
}

} // namespace

settings_reader::settings_reader(std::string file, toml::table const& root)
    : file_(std::move(file))
    , root_(root)
{
}

toml::node const* settings_reader::find(std::string_view table,
                                        std::string_view key)
{
    known_.emplace(table, key);
    auto const* section = root_[table].as_table();
    return section == nullptr ? nullptr : section->get(key);
}

toml::node const* settings_reader::find(std::string_view table,
                                        std::string_view key, need presence)
{
    auto const* node = find(table, key);
    if (node == nullptr && presence == need::required)
        fail(table, key, fmt::format("is missing; add it under [{}]", table));
    return node;
}

void settings_reader::text(std::string_view table, std::string_view key,
                           need presence, std::string& out)
{
    auto const* node = find(table, key, presence);
    if (node == nullptr)
        return;
    auto const value = node->value_exact<std::string>();
    if (!value || value->empty())
        return fail(table, key, "must be a string that is not empty");
    out = *value;
}

void settings_reader::integer(std::string_view table, std::string_view key,
                              std::int64_t min_value, std::int64_t max_value,
                              std::int64_t& out)
{
    auto const* node = find(table, key);
    if (node == nullptr)
        return;
    auto const value = node->value_exact<std::int64_t>();
    if (!value || *value < min_value || *value > max_value)
        return fail(table, key,
                    fmt::format("must be an integer from {} to {}", min_value,
                                max_value));
    out = *value;
}

void settings_reader::real(std::string_view table, std::string_view key,
                           double min_value, double max_value, double& out)
{
    auto const* node = find(table, key);
    if (node == nullptr)
        return;
    auto const value =
        node->is_number() ? node->value<double>() : std::optional<double>();
    // The negated comparison also rejects NaN.
    if (!value || !(*value >= min_value && *value <= max_value))
        return fail(table, key,
                    fmt::format("must be a number from {} to {}", min_value,
                                max_value));
    out = *value;
}

void settings_reader::milliseconds(std::string_view table, std::string_view key,
                                   std::int64_t min_value,
                                   std::int64_t max_value,
                                   std::chrono::milliseconds& out)
{
    std::int64_t count = out.count();
    integer(table, key, min_value, max_value, count);
    out = std::chrono::milliseconds(count);
}

std::optional<kernel::socket_address>
settings_reader::parse_address(std::string_view text) const
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string host(text.substr(0, colon));
    std::string const port(text.substr(colon + 1));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    asio::error_code ec;
    asio::ip::make_address(host, ec);
    bool const digits =
        !port.empty() && port.size() <= 5 &&
        std::all_of(port.begin(), port.end(),
                    [](char it) { return it >= '0' && it <= '9'; });
    if (ec || !digits || std::stoul(port) > 65535)
        return std::nullopt;
    return kernel::socket_address{host,
                                  static_cast<std::uint16_t>(std::stoul(port))};
}

void settings_reader::address(std::string_view table, std::string_view key,
                              kernel::socket_address& out)
{
    auto const* node = find(table, key, need::required);
    if (node == nullptr)
        return;
    auto const value = node->value_exact<std::string>();
    auto const parsed =
        value ? parse_address(*value) : std::optional<kernel::socket_address>();
    if (!parsed)
        return fail(
            table, key,
            "must be an IP address and a port, such as \"127.0.0.1:8080\"");
    out = *parsed;
}

void settings_reader::addresses(std::string_view table, std::string_view key,
                                std::vector<kernel::socket_address>& out)
{
    auto const* node = find(table, key);
    if (node == nullptr)
        return;
    std::string_view const problem =
        "must be an array of IP addresses and ports, such as "
        "[\"127.0.0.1:8080\"]";
    if (!node->is_array())
        return fail(table, key, problem);
    for (auto const& it : *node->as_array())
    {
        auto const value = it.value_exact<std::string>();
        auto const parsed = value ? parse_address(*value)
                                  : std::optional<kernel::socket_address>();
        if (!parsed || parsed->port == 0)
            return fail(table, key, problem);
        out.push_back(*parsed);
    }
}

void settings_reader::url(std::string_view table, std::string_view key,
                          need presence, std::string& out)
{
    std::string value;
    text(table, key, presence, value);
    if (value.empty())
        return;
    if (!is_http_url(value))
        return fail(table, key,
                    "must be a URL, such as \"http://127.0.0.1:9000\"");
    out = value;
}

std::optional<std::size_t>
settings_reader::choice(std::string_view table, std::string_view key,
                        std::initializer_list<std::string_view> choices)
{
    auto const* node = find(table, key);
    if (node == nullptr)
        return std::nullopt;
    auto const value = node->value_exact<std::string>();
    auto const it = value ? std::find(choices.begin(), choices.end(), *value)
                          : choices.end();
    if (it != choices.end())
        return static_cast<std::size_t>(std::distance(choices.begin(), it));
    fail(table, key,
         fmt::format("must be one of {}", fmt::join(choices, ", ")));
    return std::nullopt;
}

void settings_reader::secret(std::string_view table, std::string_view name,
                             std::size_t min_bytes, std::string& out)
{
    auto const file_key = fmt::format("{}_file", name);
    auto const env_key = fmt::format("{}_env", name);
    bool const from_file = find(table, file_key) != nullptr;
    bool const from_env = find(table, env_key) != nullptr;
    if (from_file == from_env)
        return fail(
            table, from_file ? env_key : file_key,
            fmt::format("set exactly one of {} and {}", file_key, env_key));
    auto const& key = from_file ? file_key : env_key;
    std::string source;
    text(table, key, need::required, source);
    if (source.empty())
        return;
    std::string value;
    if (from_file)
    {
        std::ifstream stream(resolve_path(source), std::ios::binary);
        if (!stream)
            return fail(table, key,
                        fmt::format("cannot read {}; create the file and make "
                                    "it readable for this user",
                                    source));
        value.assign(std::istreambuf_iterator<char>(stream), {});
    }
    else
    {
        // Thread-safe here: settings are read before any thread is started.
        auto const* env =
            std::getenv(source.c_str()); // NOLINT(concurrency-mt-unsafe)
        if (env == nullptr)
            return fail(
                table, key,
                fmt::format("the environment variable {} is not set", source));
        value = env;
    }
    trim_end(value);
    if (value.size() < min_bytes)
        return fail(table, key,
                    fmt::format("the secret has {} bytes; use at least {}",
                                value.size(), min_bytes));
    out = value;
}

std::string settings_reader::resolve_path(std::string const& path) const
{
    // Relative paths are resolved against the folder of the settings file, not
    // against the working directory, so that the result does not depend on how
    // the process is started.
    return (std::filesystem::path(file_).parent_path() / path).string();
}

std::size_t settings_reader::line_of(std::string_view table,
                                     std::string_view key) const
{
    auto const* node = root_.get(table);
    if (node == nullptr)
        return 1;
    auto const* section = node->as_table();
    if (section != nullptr && section->get(key) != nullptr)
        node = section->get(key);
    return node->source().begin.line;
}

void settings_reader::fail(std::string_view table, std::string_view key,
                           std::string_view problem)
{
    fail_at(line_of(table, key), fmt::format("{}.{}", table, key), problem);
}

void settings_reader::fail_at(std::size_t line, std::string const& key,
                              std::string_view problem)
{
    errors_.push_back(fmt::format("{}:{}: {}: {}", file_, line, key, problem));
}

void settings_reader::reject_unknown_keys()
{
    constexpr std::string_view problem =
        "is unknown; remove it or correct its spelling";
    for (auto const& it : root_)
    {
        std::string const table(it.first.str());
        auto const* section = it.second.as_table();
        bool const known_table = std::any_of(known_.begin(), known_.end(),
                                             [&](auto const& known)
                                             { return known.first == table; });
        if (section == nullptr || !known_table)
        {
            fail_at(it.second.source().begin.line, table, problem);
            continue;
        }
        for (auto const& [key, node] : *section)
            if (!known_.contains({table, std::string(key.str())}))
                fail_at(node.source().begin.line,
                        fmt::format("{}.{}", table, key.str()), problem);
    }
}

std::string settings_reader::errors() const
{
    return fmt::format("{}", fmt::join(errors_, "\n"));
}

} // namespace endiveward::config

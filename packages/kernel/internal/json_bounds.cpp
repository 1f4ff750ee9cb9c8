#include "kernel/json_bounds.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace endiveward::kernel
{

namespace
{

using nlohmann::json;

/// Counts the values of a JSON text without storing them. Stops the parser
/// beyond a bound.
class value_counter : public nlohmann::json_sax<json>
{
public:
    bool exceeded() const { return exceeded_; }

    bool null() override { return count(); }
    bool boolean(bool) override { return count(); }
    bool number_integer(number_integer_t) override { return count(); }
    bool number_unsigned(number_unsigned_t) override { return count(); }
    bool number_float(number_float_t, string_t const&) override
    {
        return count();
    }
    bool string(string_t&) override { return count(); }
    bool binary(binary_t&) override { return count(); }
    bool start_object(std::size_t) override { return begin_level(); }
    bool key(string_t&) override { return true; }
    bool end_object() override { return end_level(); }
    bool start_array(std::size_t) override { return begin_level(); }
    bool end_array() override { return end_level(); }
    bool parse_error(std::size_t, std::string const&,
                     nlohmann::detail::exception const&) override
    {
        return false;
    }

private:
    bool count()
    {
        exceeded_ = exceeded_ || ++values_ > max_json_values;
        return !exceeded_;
    }

    bool begin_level()
    {
        exceeded_ = ++levels_ > max_json_levels;
        return count();
    }

    bool end_level()
    {
        --levels_;
        return true;
    }

    std::size_t levels_ = 0;
    std::size_t values_ = 0;
    bool exceeded_ = false;
};

/// Whether the text has too few brackets and commas to exceed a bound, wherever
/// they stand.
bool is_plain(std::string_view text)
{
    auto const count = [&](char it) {
        return static_cast<std::size_t>(
            std::count(text.begin(), text.end(), it));
    };
    auto const opened = count('[') + count('{');
    return opened <= max_json_levels && opened + count(',') < max_json_values;
}

} // namespace

bool is_within_json_bounds(std::string_view text)
{
    if (is_plain(text))
        return true;
    value_counter counter;
    json::sax_parse(text, &counter);
    return !counter.exceeded();
}

} // namespace endiveward::kernel

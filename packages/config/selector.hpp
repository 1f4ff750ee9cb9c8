#ifndef ENDIVEWARD_CONFIG_SELECTOR_HPP
#define ENDIVEWARD_CONFIG_SELECTOR_HPP

#include "config/types/label_set.hpp"
#include "kernel/types/result.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace endiveward::config
{

/// A condition on labels: `key=value`, `key!=value`, `key in (a,b)`,
/// `key notin (a,b)`, `key`, `!key`, joined by commas; all must hold. The empty
/// selector matches everything. `!=` and `notin` also match if the key is
/// absent.
class selector
{
public:
    selector() = default;

    /// Errors have kind `invalid_request` and name position and remedy.
    static kernel::result<selector> parse(std::string_view text);

    bool matches(label_set const& labels) const;
    /// Adds the label keys that the result of `matches` depends on.
    void collect_keys(std::set<std::string>& out) const;

private:
    friend class selector_parser;

    enum class operator_kind : std::uint8_t
    {
        in,
        not_in,
        present,
        absent
    };
    struct requirement
    {
        std::string key;
        operator_kind kind = operator_kind::present;
        std::set<std::string> values;
    };

    static bool is_met(requirement const& condition, label_set const& labels);

    std::vector<requirement> requirements_;
};

/// Whether the text is a valid label key: 1 to 128 letters, digits, `.`, `_`,
/// `-` or `/`.
bool is_label_key(std::string_view text);
/// Whether the text is a valid label value: like a key, but may contain `:` and
/// may be empty.
bool is_label_value(std::string_view text);

} // namespace endiveward::config

#endif

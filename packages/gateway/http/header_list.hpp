#ifndef ENDIVEWARD_GATEWAY_HTTP_HEADER_LIST_HPP
#define ENDIVEWARD_GATEWAY_HTTP_HEADER_LIST_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace endiveward::gateway
{

struct header
{
    std::string name;
    std::string value;
};

bool equal_names(std::string_view a, std::string_view b);
std::string_view trimmed(std::string_view text);

/// Header fields in the order of arrival. Names are compared
/// case-insensitively.
class header_list
{
public:
    void add(std::string name, std::string value);
    /// Returns the value of the first field with this name, or null.
    std::string const* find(std::string_view name) const;
    std::string_view value_or(std::string_view name,
                              std::string_view fallback) const;
    std::size_t count(std::string_view name) const;
    /// Whether a comma-separated field contains the token.
    bool lists(std::string_view name, std::string_view token) const;

    auto begin() const { return fields_.begin(); }
    auto end() const { return fields_.end(); }
    std::size_t size() const { return fields_.size(); }
    void clear() { fields_.clear(); }

private:
    std::vector<header> fields_;
};

} // namespace endiveward::gateway

#endif

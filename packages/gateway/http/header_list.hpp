#ifndef ENDIVEWARD_GATEWAY_HTTP_HEADER_LIST_HPP
#define ENDIVEWARD_GATEWAY_HTTP_HEADER_LIST_HPP

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiveward::gateway
{

/// A field of a list; valid until the list changes.
struct header
{
    std::string_view name;
    std::string_view value;
};

bool equal_names(std::string_view a, std::string_view b);
std::string_view trimmed(std::string_view text);

/// Header fields in the order of arrival. Names are compared
/// case-insensitively. A field costs its text and twelve bytes.
class header_list
{
public:
    class const_iterator;

    void add(std::string_view name, std::string_view value);
    /// Returns the value of the first field with this name.
    std::optional<std::string_view> find(std::string_view name) const;
    std::string_view value_or(std::string_view name,
                              std::string_view fallback) const;
    std::size_t count(std::string_view name) const;
    /// Whether a comma-separated field contains the token.
    bool lists(std::string_view name, std::string_view token) const;
    /// Visits the tokens of all comma-separated fields with this name until the
    /// visitor returns false.
    template <typename Visitor>
    void for_each_token(std::string_view name, Visitor visit) const;

    const_iterator begin() const;
    const_iterator end() const;
    header operator[](std::size_t n) const;
    std::size_t size() const { return fields_.size(); }
    void clear();
    /// Bytes that the list has allocated.
    std::size_t memory() const;

private:
    /// Where a field is in `text_`: its value follows its name.
    struct position
    {
        std::uint32_t begin = 0;
        std::uint32_t name_size = 0;
        std::uint32_t value_size = 0;
    };

    std::string text_;
    std::vector<position> fields_;
};

class header_list::const_iterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = header;
    using difference_type = std::ptrdiff_t;
    using pointer = header const*;
    using reference = header;

    const_iterator(header_list const& list, std::size_t index)
        : list_(&list)
        , index_(index)
    {
    }

    header operator*() const { return (*list_)[index_]; }
    const_iterator& operator++()
    {
        ++index_;
        return *this;
    }
    const_iterator operator++(int)
    {
        auto const res = *this;
        ++index_;
        return res;
    }
    bool operator==(const_iterator const& other) const
    {
        return index_ == other.index_;
    }

private:
    header_list const* list_;
    std::size_t index_;
};

template <typename Visitor>
void header_list::for_each_token(std::string_view name, Visitor visit) const
{
    for (auto const it : *this)
    {
        if (!equal_names(it.name, name))
            continue;
        for (auto rest = it.value; !rest.empty();)
        {
            auto const comma = rest.find(',');
            if (!visit(trimmed(rest.substr(0, comma))))
                return;
            if (comma == std::string_view::npos)
                break;
            rest.remove_prefix(comma + 1);
        }
    }
}

} // namespace endiveward::gateway

#endif

#ifndef ENDIVEWARD_KERNEL_TYPES_IDENTIFIERS_HPP
#define ENDIVEWARD_KERNEL_TYPES_IDENTIFIERS_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace endiveward::kernel
{

/// A string identifier that cannot be mixed up with one of another kind.
template <typename Tag>
class identifier
{
public:
    identifier() = default;
    explicit identifier(std::string text)
        : text_(std::move(text))
    {
    }

    std::string const& str() const { return text_; }
    bool empty() const { return text_.empty(); }

    // clang-tidy 14 takes the zero of a rewritten comparison for a pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(identifier const&) const = default;

private:
    std::string text_;
};

using workspace_id = identifier<struct workspace_tag>;
using endpoint_id = identifier<struct endpoint_tag>;
using model_id = identifier<struct model_tag>;
using model_version = identifier<struct model_version_tag>;
using service_id = identifier<struct service_tag>;
using vm_id = identifier<struct vm_tag>;
using zone_id = identifier<struct zone_tag>;
using region_id = identifier<struct region_tag>;
using process_id = identifier<struct process_tag>;
/// Version of an endpoint's software, not of its model's weights. Versions have
/// no order.
using software_version = identifier<struct software_version_tag>;

/// Distinguishes two lives of one process or engine. Zero means unknown.
using incarnation = std::uint64_t;

/// Version of the configuration. Zero means that none is known.
using config_version = std::uint64_t;

} // namespace endiveward::kernel

template <typename Tag>
struct std::hash<endiveward::kernel::identifier<Tag>>
{
    std::size_t
    operator()(endiveward::kernel::identifier<Tag> const& id) const noexcept
    {
        return std::hash<std::string>()(id.str());
    }
};

#endif

#ifndef ENDIVEWARD_RESUMPTION_ORIGIN_TABLE_HPP
#define ENDIVEWARD_RESUMPTION_ORIGIN_TABLE_HPP

#include "kernel/i_clock.hpp"
#include "wire/types/stream_origin.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace endiveward::resumption
{

/// Keeps where streams began, each for its lifetime. Of more than `capacity`
/// streams the oldest ones are forgotten.
class origin_table
{
public:
    static constexpr std::size_t default_capacity = 32768;

    explicit origin_table(std::size_t capacity = default_capacity);

    /// Replaces what is known of the stream.
    void add(wire::stream_origin const& origin, kernel::steady_time now);
    /// Returns the origin with the lifetime that is left.
    std::optional<wire::stream_origin> find(std::uint64_t stream,
                                            kernel::steady_time now) const;
    /// Software versions of the service at which known streams began.
    std::vector<kernel::software_version>
    versions_of(kernel::service_id const& service,
                kernel::steady_time now) const;
    void for_each(
        kernel::steady_time now,
        std::function<void(wire::stream_origin const&)> const& visit) const;
    std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        wire::stream_origin origin;
        kernel::steady_time expires{};
    };

    static wire::stream_origin remaining(entry const& it,
                                         kernel::steady_time now);
    void pop_front();

    std::size_t capacity_;
    /// In the order in which they were added.
    std::list<entry> entries_;
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> by_stream_;
};

} // namespace endiveward::resumption

#endif

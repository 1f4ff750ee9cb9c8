#ifndef ENDIVEWARD_FACTS_FACT_TABLE_HPP
#define ENDIVEWARD_FACTS_FACT_TABLE_HPP

#include "kernel/i_clock.hpp"
#include "wire/types/fact_report.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace endiveward::facts
{

/// Keeps the newest value of each fact for the lifetime of its kind. Of more
/// than `capacity` facts, those that were updated longest ago are forgotten.
/// No I/O.
class fact_table
{
public:
    static constexpr std::size_t default_capacity = 32768;

    explicit fact_table(std::size_t capacity = default_capacity);

    /// Returns the facts that are new or have a newer value.
    std::vector<wire::fact> merge(std::vector<wire::fact> const& facts,
                                  kernel::steady_time now);
    /// All facts with their present age.
    std::vector<wire::fact> snapshot(kernel::steady_time now) const;
    std::size_t size() const { return entries_.size(); }

    static std::chrono::milliseconds lifetime_of(wire::fact_kind kind);

private:
    struct fact_id
    {
        wire::fact_kind kind;
        std::uint64_t key;
        std::uint64_t source;

        bool operator==(fact_id const&) const = default;
    };

    struct id_hash
    {
        std::size_t operator()(fact_id const& id) const;
    };

    struct entry
    {
        wire::fact fact;
        kernel::steady_time stated_at{};
    };

    static fact_id id_of(wire::fact const& it);
    bool merge_one(wire::fact const& it, kernel::steady_time now);
    void forget_expired(kernel::steady_time now);

    std::size_t capacity_;
    /// In the order of their updates.
    std::list<entry> entries_;
    std::unordered_map<fact_id, std::list<entry>::iterator, id_hash> by_id_;
};

} // namespace endiveward::facts

#endif

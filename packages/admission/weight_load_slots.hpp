#ifndef ENDIVEWARD_ADMISSION_WEIGHT_LOAD_SLOTS_HPP
#define ENDIVEWARD_ADMISSION_WEIGHT_LOAD_SLOTS_HPP

#include "admission/i_weight_load_slots.hpp"
#include "kernel/i_clock.hpp"
#include "kernel/post_function.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace endiveward::storage
{
class i_table;
}

namespace endiveward::admission
{

class table_lease;

/// Slots for concurrent weight loads, each of them a lease in the platform's
/// table.
class weight_load_slots : public i_weight_load_slots
{
public:
    /// More than two concurrent loads slow each other down.
    static constexpr std::size_t slot_count = 2;

    weight_load_slots(kernel::i_clock const& clock, storage::i_table& table,
                      kernel::post_function const& post,
                      std::string const& holder);
    ~weight_load_slots() override;

    void request() override { requested_ = true; }
    bool held() const override;
    void release() override;
    void tick() override;

private:
    std::vector<std::unique_ptr<table_lease>> leases_;
    bool requested_ = false;
    /// The slot that is held, or that is preferred until one is.
    std::size_t current_slot_;
};

} // namespace endiveward::admission

#endif

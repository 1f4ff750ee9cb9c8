#include "admission/weight_load_slots.hpp"

#include "admission/table_lease.hpp"
#include "kernel/types/hash128.hpp"

#include <fmt/format.h>

namespace endiveward::admission
{

weight_load_slots::weight_load_slots(kernel::i_clock const& clock,
                                     storage::i_table& table,
                                     kernel::post_function const& post,
                                     std::string const& holder)
    // Different holders start at different slots, which reduces contention.
    : current_slot_(kernel::hash_bytes(holder).low % slot_count)
{
    for (std::size_t n = 0; n < slot_count; ++n)
        leases_.push_back(std::make_unique<table_lease>(
            clock, table, post,
            table_lease_options{fmt::format("weights/slots/{}", n), holder}));
}

weight_load_slots::~weight_load_slots() = default;

bool weight_load_slots::held() const
{
    return requested_ && leases_[current_slot_]->fencing_number().has_value();
}

void weight_load_slots::release()
{
    requested_ = false;
    for (auto const& it : leases_)
        it->release();
}

void weight_load_slots::tick()
{
    if (!requested_)
        return;
    if (held())
        return leases_[current_slot_]->tick();
    // All leases are observed, because the expiry of another holder's lease can
    // only be detected by observing its row for the lease duration.
    for (auto const& it : leases_)
        it->tick();
    for (std::size_t n = 0; n < slot_count; ++n)
    {
        if (leases_[n]->fencing_number())
        {
            current_slot_ = n;
            break;
        }
    }
    for (std::size_t n = 0; n < slot_count; ++n)
    {
        if (n != current_slot_)
            leases_[n]->release();
    }
}

} // namespace endiveward::admission

#ifndef ENDIVEWARD_ADMISSION_I_WEIGHT_LOAD_SLOTS_HPP
#define ENDIVEWARD_ADMISSION_I_WEIGHT_LOAD_SLOTS_HPP

namespace endiveward::admission
{

/// Limits the number of endpoints that load weights concurrently. Not
/// thread-safe.
class i_weight_load_slots
{
public:
    virtual ~i_weight_load_slots() = default;

    /// Requests a slot, which `tick` acquires and renews until `release`.
    virtual void request() = 0;
    /// Whether a slot is held, so that a load may start or continue.
    virtual bool held() const = 0;
    virtual void release() = 0;
    /// Acquires or renews the requested slot. Call about once a second.
    virtual void tick() = 0;
};

} // namespace endiveward::admission

#endif

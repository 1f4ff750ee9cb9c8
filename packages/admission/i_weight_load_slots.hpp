#ifndef ENDIVEWARD_ADMISSION_I_WEIGHT_LOAD_SLOTS_HPP
#define ENDIVEWARD_ADMISSION_I_WEIGHT_LOAD_SLOTS_HPP

namespace endiveward::admission
{

/// Limits how many endpoints load weights at once. Used on one thread.
class i_weight_load_slots
{
public:
    virtual ~i_weight_load_slots() = default;

    /// Asks for a slot; `tick` acquires and keeps it.
    virtual void request() = 0;
    /// Whether a load may start or go on now.
    virtual bool held() const = 0;
    virtual void release() = 0;
    /// Call about once a second.
    virtual void tick() = 0;
};

} // namespace endiveward::admission

#endif

#ifndef ENDIVEWARD_STORAGE_I_VM_LIST_HPP
#define ENDIVEWARD_STORAGE_I_VM_LIST_HPP

#include "kernel/types/result.hpp"
#include "storage/types/vm.hpp"

#include <chrono>
#include <functional>
#include <vector>

namespace endiveward::storage
{

/// The platform's list of live and leaving VMs, which lags. Handlers as for
/// `i_table`.
class i_vm_list
{
public:
    using handler = std::function<void(kernel::result<std::vector<vm>>)>;

    virtual ~i_vm_list() = default;

    virtual void list(std::chrono::milliseconds timeout, handler on_done) = 0;
};

} // namespace endiveward::storage

#endif

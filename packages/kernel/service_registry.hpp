#ifndef ENDIVEWARD_KERNEL_SERVICE_REGISTRY_HPP
#define ENDIVEWARD_KERNEL_SERVICE_REGISTRY_HPP

#include <any>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace endiveward::kernel
{

/// Maps a name to a service. Filled by the modules before any thread starts,
/// read-only afterwards.
class service_registry
{
public:
    /// Registers a service as interface `T`. Throws if the name is taken.
    template <typename T>
    void add(std::string_view name, std::shared_ptr<T> service)
    {
        insert(name, std::any(std::move(service)));
    }

    /// The service of that name. Throws if it is missing or has another type.
    template <typename T>
    std::shared_ptr<T> get(std::string_view name) const
    {
        auto const* ptr = std::any_cast<std::shared_ptr<T>>(&at(name));
        if (ptr == nullptr)
            throw_wrong_type(name);
        return *ptr;
    }

    bool contains(std::string_view name) const;

private:
    void insert(std::string_view name, std::any service);
    std::any const& at(std::string_view name) const;
    [[noreturn]] static void throw_wrong_type(std::string_view name);

    std::map<std::string, std::any, std::less<>> services_;
};

} // namespace endiveward::kernel

#endif

#include "kernel/application.hpp"
#include "kernel/i_module.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace endiveward::kernel
{

namespace
{

class recording_module : public i_module
{
public:
    recording_module(std::string name, std::vector<std::string>& events,
                     bool fails = false)
        : name_(std::move(name))
        , events_(events)
        , fails_(fails)
    {
    }

    std::string_view name() const override { return name_; }
    void register_services(service_registry& registry) override
    {
        registry.add(name_, std::make_shared<std::string>(name_));
        events_.push_back("register " + name_);
    }
    void resolve_services(service_registry const&) override
    {
        events_.push_back("resolve " + name_);
    }
    void init() override
    {
        if (fails_)
            throw std::runtime_error("init failed");
        events_.push_back("init " + name_);
    }
    void deinit() override { events_.push_back("deinit " + name_); }

private:
    std::string name_;
    std::vector<std::string>& events_;
    bool fails_;
};

} // namespace

// Guards against a module that uses a service before it is registered.
TEST_CASE("modules run their lifecycle in order and stop in reverse")
{
    std::vector<std::string> events;
    {
        application app;
        app.add_module(std::make_unique<recording_module>("a", events));
        app.add_module(std::make_unique<recording_module>("b", events));
        app.start();
    }
    CHECK(events == std::vector<std::string>{"register a", "register b",
                                             "resolve a", "resolve b", "init a",
                                             "init b", "deinit b", "deinit a"});
}

// Guards against threads left running when a later module fails to start.
TEST_CASE("a failing init stops the modules that were initialized")
{
    std::vector<std::string> events;
    application app;
    app.add_module(std::make_unique<recording_module>("a", events));
    app.add_module(std::make_unique<recording_module>("b", events, true));
    CHECK_THROWS(app.start());
    CHECK(events.back() == "deinit a");
}

// Guards against a service that is silently replaced or mistyped.
TEST_CASE("the registry refuses duplicates, missing names and other types")
{
    service_registry registry;
    registry.add("number", std::make_shared<int>(4));
    CHECK(*registry.get<int>("number") == 4);
    CHECK_THROWS(registry.add("number", std::make_shared<int>(5)));
    CHECK_THROWS(registry.get<std::string>("number"));
    CHECK_THROWS(registry.get<int>("other"));
}

} // namespace endiveward::kernel

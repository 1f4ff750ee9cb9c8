#include "config/apply_change.hpp"
#include "config/config_json.hpp"
#include "config/config_state.hpp"
#include "config/configuration.hpp"
#include "config/types/routing_key.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

using namespace endiveward;

namespace
{

// SHA-256 of "abc", from FIPS 180-2.
constexpr char const* abc_hash =
    "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";

std::string const base_operations = R"([
 {"op":"put_service","service":{"id":"gate","labels":{"kind":"gate"},
   "idempotent_operations":[{"method":"GET","path":"/status"}]}},
 {"op":"put_endpoint","endpoint":{"id":"b","labels":{"zone":"hall-b"}}},
 {"op":"put_endpoint","endpoint":{"id":"a","labels":{"zone":"hall-a"}}},
 {"op":"put_endpoint","endpoint":{"id":"g","kind":"service","service":"gate",
   "labels":{"zone":"hall-a"}}},
 {"op":"put_workspace","workspace":{"id":"w","labels":{"firm":"one"},
   "key_hashes":["ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"],
   "priority":3,"completions":"at_most_once"}},
 {"op":"put_workspace","workspace":{"id":"x","labels":{"firm":"two"}}},
 {"op":"put_model","model":{"id":"m","versions":[
   {"version":"2","labels":{"size":"large"}},{"version":"1","labels":{}}]}},
 {"op":"put_rule","rule":{"id":"large","order":1,"workspaces":"firm=one",
   "models":"size=large","endpoints":"zone=hall-a"}},
 {"op":"put_rule","rule":{"id":"rest","order":2,"workspaces":"firm=one"}},
 {"op":"put_move","move":{"id":"to-b","stage":"","stages":[
   {"name":"half","rules":[{"models":"!size","endpoints":"zone=hall-b"}]},
   {"name":"all","rules":[{"endpoints":"zone=hall-b"}]}]}}
])";

struct invalid_operation
{
    std::string text;
    kernel::error_kind kind;
    std::string message_part;
};

struct malformed_operations
{
    std::string text;
    std::string message_part;
};

config::change make_change(std::string const& operations, std::string id = "c")
{
    auto const parsed = config::parse_operations(operations);
    if (!kernel::ok(parsed))
        FAIL(kernel::failure(parsed).message);
    return {std::move(id), "an", kernel::value(parsed), {}};
}

void apply_operations(config::config_data& data, std::string const& operations)
{
    auto const res = config::apply_change(data, make_change(operations));
    if (!kernel::ok(res))
        FAIL(kernel::failure(res).message);
}

std::shared_ptr<config::configuration const>
compile(config::config_data const& data)
{
    auto const res = config::configuration::compile(
        std::make_shared<config::config_data const>(data));
    REQUIRE(kernel::ok(res));
    return kernel::value(res);
}

std::string allowed_ids(config::configuration const& compiled,
                        std::string const& workspace,
                        std::string const& version)
{
    std::string res;
    for (auto const& it :
         *compiled.allowed_endpoints({kernel::workspace_id(workspace),
                                      kernel::model_id("m"),
                                      kernel::model_version(version),
                                      {}}))
        res += it.str();
    return res;
}

wire::config_update make_update(kernel::config_version from,
                                std::vector<std::string> const& operations)
{
    std::vector<std::string> changes;
    changes.reserve(operations.size());
    for (auto const& it : operations)
        changes.push_back(config::to_json(make_change(it)).dump());
    return {from, from + operations.size(), false,
            config::changes_body(changes)};
}

std::string put_workspace(std::size_t number)
{
    auto const text = std::to_string(number);
    return R"([{"op":"put_workspace","workspace":{"id":"w)" + text +
           R"(","labels":{"n":")" + text + "\"}}}]";
}

} // namespace

TEST_CASE("the first matching rule decides", "[configuration]")
{
    // Guards against calls that the selectors do not allow: rule order,
    // precedence of moves over base rules, separation of services and engines,
    // denial by default.
    config::config_data data;
    apply_operations(data, base_operations);
    auto const base = compile(data);
    CHECK(allowed_ids(*base, "w", "2") == "a");
    CHECK(allowed_ids(*base, "w", "1") == "ab");
    CHECK(allowed_ids(*base, "x", "2").empty());
    CHECK(allowed_ids(*base, "absent", "2").empty());
    CHECK(allowed_ids(*base, "w", "3").empty());
    config::routing_key const gate{
        kernel::workspace_id("w"), {}, {}, kernel::service_id("gate")};
    CHECK(*base->allowed_endpoints(gate) ==
          config::configuration::endpoint_list{kernel::endpoint_id("g")});
    CHECK(base->allows(gate, kernel::endpoint_id("g")));
    CHECK_FALSE(base->allows(gate, kernel::endpoint_id("a")));

    apply_operations(data,
                     R"([{"op":"set_stage","move":"to-b","stage":"half"}])");
    auto const half = compile(data);
    CHECK(allowed_ids(*half, "w", "2") == "a");
    CHECK(allowed_ids(*half, "w", "1") == "b");
    CHECK(allowed_ids(*half, "x", "1") == "b");
    CHECK(half->rules()[0].name == "move/to-b/half/0");

    apply_operations(data,
                     R"([{"op":"set_stage","move":"to-b","stage":"all"}])");
    CHECK(allowed_ids(*compile(data), "w", "2") == "b");
    // An older version is not changed by later ones.
    CHECK(allowed_ids(*base, "w", "2") == "a");
}

TEST_CASE("more than 64 rules keep their order", "[configuration]")
{
    // Guards against a wrong word or bit index in the rule masks.
    config::config_data data;
    apply_operations(data, base_operations);
    for (int i = 0; i < 130; ++i)
        apply_operations(
            data, R"([{"op":"put_rule","rule":{"id":"r)" + std::to_string(i) +
                      R"(","order":-1,"workspaces":"firm=none"}}])");
    apply_operations(data, R"([{"op":"put_rule","rule":{"id":"two","order":0,
        "workspaces":"firm=two","endpoints":"zone=hall-b"}}])");
    auto const res = compile(data);
    CHECK(allowed_ids(*res, "w", "2") == "a");
    CHECK(allowed_ids(*res, "x", "2") == "b");
}

TEST_CASE("API keys are found by their hash", "[configuration]")
{
    // Guards against a key that gives access to the wrong workspace or still
    // works after it was revoked.
    config::config_data data;
    apply_operations(data, base_operations);
    auto const base = compile(data);
    REQUIRE(base->authenticate("abc") != nullptr);
    CHECK(base->authenticate("abc")->id.str() == "w");
    CHECK(base->authenticate("abd") == nullptr);
    CHECK(base->authenticate(abc_hash) == nullptr);
    CHECK(base->authenticate("") == nullptr);
    apply_operations(data,
                     R"([{"op":"put_workspace","workspace":{"id":"w"}}])");
    CHECK(compile(data)->authenticate("abc") == nullptr);
}

TEST_CASE("invalid operations are rejected with a typed error",
          "[configuration]")
{
    // Guards against a configuration with dangling references or ambiguous
    // entries.
    using kind = kernel::error_kind;
    auto const [text, expected,
                message_part] = GENERATE_COPY(values<invalid_operation>({
        {R"({"op":"put_endpoint","endpoint":{"id":"a b"}})",
         kind::invalid_request, "id \"a b\""},
        {R"({"op":"put_endpoint","endpoint":{"id":"e","kind":"service"}})",
         kind::invalid_request, "set service"},
        {R"({"op":"put_endpoint","endpoint":{"id":"e","kind":"service",
                "service":"none"}})",
         kind::not_found, "service/none"},
        {R"({"op":"put_endpoint","endpoint":{"id":"e",
                "labels":{"a b":"c"}}})",
         kind::invalid_request, "label key"},
        {R"({"op":"put_workspace","workspace":{"id":"y",
                "key_hashes":["secret"]}})",
         kind::invalid_request, "SHA-256"},
        {R"({"op":"put_workspace","workspace":{"id":"y","key_hashes":[)"
         R"("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"]}})",
         kind::invalid_request, "belongs to workspace w"},
        {R"({"op":"put_model","model":{"id":"n","versions":[
                {"version":"1"},{"version":"1"}]}})",
         kind::invalid_request, "appears twice"},
        {R"({"op":"put_service","service":{"id":"s",
                "idempotent_operations":[{"method":"GET","path":"x"}]}})",
         kind::invalid_request, "starts with '/'"},
        {R"({"op":"put_rule","rule":{"id":"r","workspaces":"a=="}})",
         kind::invalid_request, "rule r: selector \"a==\", position 3"},
        {R"({"op":"put_move","move":{"id":"v","stage":"none"}})",
         kind::invalid_request, "no stage"},
        {R"({"op":"set_stage","move":"to-b","stage":"none"})",
         kind::invalid_request, "no stage"},
        {R"({"op":"set_stage","move":"none","stage":""})", kind::not_found,
         "move/none"},
        {R"({"op":"delete_service","id":"gate"})", kind::invalid_request,
         "endpoint g"},
        {R"({"op":"delete_rule","id":"none"})", kind::not_found, "rule/none"},
        {R"({"op":"set_label","kind":"endpoint","id":"none","key":"k",
                "value":"v"})",
         kind::not_found, "endpoint/none"},
        {R"({"op":"set_label","kind":"rule","id":"rest","key":"k",
                "value":"v"})",
         kind::invalid_request, "has no labels"},
        {R"({"op":"set_label","kind":"model","id":"m","version":"9",
                "key":"k","value":"v"})",
         kind::not_found, "version 9"},
    }));
    config::config_data data;
    apply_operations(data, base_operations);
    auto const res = config::apply_change(data, make_change("[" + text + "]"));
    INFO(text);
    REQUIRE_FALSE(kernel::ok(res));
    CHECK(kernel::failure(res).kind == expected);
    INFO(kernel::failure(res).message);
    CHECK(kernel::failure(res).message.find(message_part) != std::string::npos);
}

TEST_CASE("malformed operations are rejected", "[configuration]")
{
    // Guards against misspelt fields that are silently ignored.
    auto const [text,
                message_part] = GENERATE_COPY(values<malformed_operations>({
        {"[", "not valid JSON"},
        {"[3]", "operation 0"},
        {R"([{"op":"put_thing"}])", "kind \"thing\" is unknown"},
        {R"([{"op":"grow"}])", "operation \"grow\" is unknown"},
        {R"([{"op":"put_rule"}])", "\"rule\" is missing"},
        {R"([{"op":"put_rule","rule":{"id":"r","endpoint":""}}])",
         "field \"endpoint\" is unknown"},
        {R"([{"op":"put_workspace","workspace":{"id":"w","priority":256}}])",
         "from 0 to 255"},
        {R"([{"op":"put_workspace","workspace":{"id":"w","labels":{"a":1}}}])",
         "label \"a\" must be a string"},
        {R"({"operations":[],"author":"x"})", "\"author\" is unknown"},
    }));
    auto const res = config::parse_operations(text);
    INFO(text);
    REQUIRE_FALSE(kernel::ok(res));
    INFO(kernel::failure(res).message);
    CHECK(kernel::failure(res).message.find(message_part) != std::string::npos);
}

TEST_CASE("labels can be set and removed on each kind", "[configuration]")
{
    // Guards against a label operation that changes the wrong object.
    config::config_data data;
    apply_operations(data, base_operations);
    apply_operations(data, R"([
      {"op":"set_label","kind":"endpoint","id":"a","key":"k","value":"1"},
      {"op":"set_label","kind":"workspace","id":"w","key":"k","value":"2"},
      {"op":"set_label","kind":"model","id":"m","version":"1","key":"k",
       "value":"3"},
      {"op":"set_label","kind":"service","id":"gate","key":"k","value":"4"},
      {"op":"remove_label","kind":"endpoint","id":"b","key":"zone"}])");
    CHECK(data.endpoints.at("a")->labels.at("k") == "1");
    CHECK(data.workspaces.at("w")->labels.at("k") == "2");
    CHECK(data.models.at("m")->versions[1].labels.at("k") == "3");
    CHECK_FALSE(data.models.at("m")->versions[0].labels.contains("k"));
    CHECK(data.services.at("gate")->labels.at("k") == "4");
    CHECK(data.endpoints.at("b")->labels.empty());
    CHECK(config::object_version(data, "endpoint/b") == 2);
    CHECK(config::object_version(data, "endpoint/g") == 1);
    CHECK(config::object_version(data, "endpoint/none") == 0);
}

TEST_CASE("JSON conversion preserves all fields", "[configuration]")
{
    // Guards against a field that is lost between processes.
    auto const first = make_change(base_operations);
    auto copy = first;
    copy.seen = {{"rule/rest", 7}};
    auto const parsed = config::parse_change(config::to_json(copy).dump());
    REQUIRE(kernel::ok(parsed));
    CHECK(kernel::value(parsed) == copy);

    config::config_data data;
    apply_operations(data, base_operations);
    apply_operations(data, R"([{"op":"delete_rule","id":"rest"},
        {"op":"set_stage","move":"to-b","stage":"all"},
        {"op":"remove_label","kind":"workspace","id":"x","key":"firm"}])");
    auto const text = config::to_json(data).dump();
    auto const read = config::parse_config_data(text);
    REQUIRE(kernel::ok(read));
    CHECK(config::to_json(kernel::value(read)).dump() == text);
    CHECK(kernel::value(read).key_owners == data.key_owners);
    CHECK(config::object_version(kernel::value(read), "rule/rest") == 2);
}

TEST_CASE("the version in force never decreases", "[config_state]")
{
    // Guards against a process that reverts to an older configuration.
    config::config_state state;
    CHECK(state.current()->version() == 0);
    std::vector<kernel::config_version> seen;
    state.subscribe([&](auto const& it) { seen.push_back(it->version()); });
    auto const first = make_update(0, {put_workspace(1), put_workspace(2)});
    REQUIRE(kernel::value(state.apply(first)) == 2);
    CHECK(kernel::value(state.apply(first)) == 2);
    CHECK(kernel::value(state.apply(make_update(0, {put_workspace(9)}))) == 2);
    CHECK(kernel::value(state.apply({0, 0, true, "{}"})) == 2);
    CHECK(state.current()->find_workspace(kernel::workspace_id("w9")) ==
          nullptr);
    auto const gap = state.apply(make_update(3, {put_workspace(4)}));
    REQUIRE_FALSE(kernel::ok(gap));
    CHECK(kernel::failure(gap).kind == kernel::error_kind::stale_configuration);
    // Of an update that overlaps with known versions, only the rest is applied.
    CHECK(kernel::value(state.apply(
              make_update(1, {put_workspace(2), put_workspace(3)}))) == 3);
    CHECK(seen == std::vector<kernel::config_version>{2, 3});
}

TEST_CASE("an update that fails changes nothing", "[config_state]")
{
    // Guards against a half-applied update.
    config::config_state state;
    auto const wrong = make_update(
        0, {put_workspace(1), R"([{"op":"delete_rule","id":"none"}])"});
    CHECK_FALSE(kernel::ok(state.apply(wrong)));
    CHECK_FALSE(kernel::ok(state.apply({0, 2, false, "[{}]"})));
    CHECK_FALSE(kernel::ok(state.apply({0, 2, false, "["})));
    CHECK_FALSE(kernel::ok(state.apply({0, 2, true, R"({"version":1})"})));
    CHECK(state.current()->version() == 0);
    CHECK(state.update_since(0).to_version == 0);
}

TEST_CASE("a process that is behind catches up from any version",
          "[config_state]")
{
    // Guards against a gap between kept changes and snapshot.
    config::config_state state(3);
    for (std::size_t i = 0; i < 7; ++i)
        REQUIRE(kernel::ok(state.apply(make_update(i, {put_workspace(i)}))));
    auto const expected = state.update_since(0).body;
    for (std::size_t known = 0; known <= 8; ++known)
    {
        auto const update = state.update_since(known);
        CHECK(update.to_version == 7);
        CHECK(update.snapshot == (known < 4));
        config::config_state other;
        for (std::size_t i = 0; i < std::min<std::size_t>(known, 7); ++i)
            REQUIRE(
                kernel::ok(other.apply(make_update(i, {put_workspace(i)}))));
        CHECK(kernel::value(other.apply(update)) == 7);
        CHECK(config::to_json(*other.compiled()->data()).dump() == expected);
    }
}

TEST_CASE("concurrent updates and reads agree", "[config_state]")
{
    // Guards against lost or reordered versions when several peers deliver the
    // same changes. Every thread ends at the last version however they are
    // scheduled.
    constexpr std::size_t count = 40;
    config::config_state state;
    std::atomic<bool> decreased{false};
    kernel::config_version notified = 0;
    state.subscribe(
        [&](auto const& it)
        {
            if (it->version() <= notified)
                decreased = true;
            notified = it->version();
        });
    std::vector<wire::config_update> updates;
    for (std::size_t i = 0; i < count; ++i)
        updates.push_back(make_update(i, {put_workspace(i)}));
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int n = 0; n < 4; ++n)
        threads.emplace_back(
            [&]
            {
                for (auto const& it : updates)
                {
                    auto const before = state.current()->version();
                    state.apply(it);
                    if (state.update_since(0).to_version < before)
                        decreased = true;
                }
            });
    for (auto& it : threads)
        it.join();
    CHECK_FALSE(decreased);
    CHECK(state.current()->version() == count);
    CHECK(notified == count);
}

TEST_CASE(
    "a configuration of the design size fits into one frame and few classes",
    "[configuration]")
{
    // Guards against a snapshot above the frame limit of 16 MiB, and against a
    // rule cache that grows with the number of workspaces.
    config::config_data data;
    for (std::size_t n = 0; n < 33; ++n)
    {
        config::change change{
            "0a1b2c3d-0000-4000-8000-" + std::to_string(n), "operator", {}, {}};
        for (std::size_t i = 0; i < 1000; ++i)
        {
            config::workspace_entry entry;
            auto const number = std::to_string(n * 1000 + i);
            entry.id = kernel::workspace_id("workspace-" + number);
            entry.labels = {{"firm", "firm-" + number},
                            {"region", "be-central"},
                            {"tier", std::to_string(i % 3)}};
            entry.key_hashes = {std::string(64 - number.size(), 'a') + number};
            change.operations.emplace_back(
                config::put_object<config::workspace_entry>{entry});
        }
        REQUIRE(kernel::ok(config::apply_change(data, change)));
    }
    apply_operations(
        data, R"([{"op":"put_rule","rule":{"id":"r","workspaces":"tier=1"}}])");
    CHECK(compile(data)->workspace_classes().size() == 3);
    CHECK(config::to_json(data).dump().size() < 15U << 20U);
}

TEST_CASE("all example configurations apply", "[configuration]")
{
    // Guards against examples that are not updated with the configuration
    // model.
    std::size_t count = 0;
    for (auto const& it :
         std::filesystem::recursive_directory_iterator(ENDIVEWARD_EXAMPLES_DIR))
    {
        if (it.path().extension() != ".json")
            continue;
        std::ifstream stream(it.path());
        std::string const text(std::istreambuf_iterator<char>(stream), {});
        config::config_data data;
        INFO(it.path());
        apply_operations(data, text);
        auto const compiled = compile(data);
        ++count;
        for (auto const& workspace : data.workspaces)
            for (auto const& model : data.models)
                for (auto const& version : model.second->versions)
                    CHECK_FALSE(compiled
                                    ->allowed_endpoints({workspace.second->id,
                                                         model.second->id,
                                                         version.version,
                                                         {}})
                                    ->empty());
    }
    CHECK(count == 2);
}

// Guards against agents that load versions without a model entry, and against
// endpoints that list a version which was removed from its model.
TEST_CASE("endpoints list the versions that they should load",
          "[configuration]")
{
    config::config_data data;
    apply_operations(data, base_operations);
    std::string const listed =
        R"([{"op":"put_endpoint","endpoint":{"id":"a",
            "models":[{"model":"m","version":"2"}]}}])";
    apply_operations(data, listed);
    auto const compiled = compile(data);
    auto const* const entry = compiled->find_endpoint(kernel::endpoint_id("a"));
    REQUIRE(entry != nullptr);
    CHECK(entry->models ==
          std::vector<config::endpoint_model>{
              {kernel::model_id("m"), kernel::model_version("2")}});
    CHECK(compiled->find_endpoint(kernel::endpoint_id("b"))->models.empty());
    auto const kept = config::parse_operations(
        config::to_json(make_change(listed)).at("operations").dump());
    REQUIRE(kernel::ok(kept));
    CHECK(kernel::value(kept) == make_change(listed).operations);

    auto const operation = GENERATE(
        // An unknown model, an unknown version, a repetition, a service.
        R"([{"op":"put_endpoint","endpoint":{"id":"a",
            "models":[{"model":"n","version":"2"}]}}])",
        R"([{"op":"put_endpoint","endpoint":{"id":"a",
            "models":[{"model":"m","version":"3"}]}}])",
        R"([{"op":"put_endpoint","endpoint":{"id":"a",
            "models":[{"model":"m","version":"2"},
                      {"model":"m","version":"2"}]}}])",
        R"([{"op":"put_endpoint","endpoint":{"id":"g","kind":"service",
            "service":"gate","models":[{"model":"m","version":"2"}]}}])",
        // Removal of a listed version.
        R"([{"op":"put_model","model":{"id":"m","versions":[
            {"version":"1","labels":{}}]}}])",
        R"([{"op":"delete_model","id":"m"}])");
    CAPTURE(operation);
    auto const parsed = config::parse_operations(operation);
    REQUIRE(kernel::ok(parsed));
    CHECK_FALSE(kernel::ok(
        config::apply_change(data, {"c", "an", kernel::value(parsed), {}})));
}

// Guards against an empty list that is interpreted as "unload everything".
TEST_CASE("an empty list of models is rejected", "[configuration]")
{
    CHECK_FALSE(kernel::ok(config::parse_operations(
        R"([{"op":"put_endpoint","endpoint":{"id":"a","models":[]}}])")));
}

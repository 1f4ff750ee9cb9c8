#include "config/config_json.hpp"

#include "config/apply_change.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <initializer_list>
#include <limits>
#include <optional>
#include <stdexcept>

namespace endiveward::config
{

namespace
{

using nlohmann::json;

/// Reports malformed input; `parse_json` converts it to an error.
class json_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

[[noreturn]] void fail(std::string const& message)
{
    throw json_error(message);
}

void expect_object(json const& value,
                   std::initializer_list<std::string_view> fields)
{
    if (!value.is_object())
        fail(fmt::format("expected a JSON object instead of {}",
                         value.type_name()));
    for (auto const& it : value.items())
        if (std::find(fields.begin(), fields.end(), it.key()) == fields.end())
            fail(fmt::format("field \"{}\" is unknown; remove it or correct "
                             "its spelling",
                             it.key()));
}

std::string string_field(json const& value, char const* field)
{
    auto const it = value.find(field);
    if (it == value.end() || !it->is_string())
        fail(fmt::format("field \"{}\" must be a string", field));
    return it->get<std::string>();
}

std::string string_field_or(json const& value, char const* field,
                            std::string const& fallback)
{
    return value.contains(field) ? string_field(value, field) : fallback;
}

std::int64_t integer_field_or(json const& value, char const* field,
                              std::int64_t min_value, std::int64_t max_value,
                              std::int64_t fallback)
{
    auto const it = value.find(field);
    if (it == value.end())
        return fallback;
    if (!it->is_number_integer() || it->get<std::int64_t>() < min_value ||
        it->get<std::int64_t>() > max_value)
        fail(fmt::format("field \"{}\" must be an integer from {} to {}", field,
                         min_value, max_value));
    return it->get<std::int64_t>();
}

std::uint64_t unsigned_field(json const& value, char const* field)
{
    auto const it = value.find(field);
    if (it == value.end() || !it->is_number_unsigned())
        fail(fmt::format("field \"{}\" must be an unsigned integer", field));
    return it->get<std::uint64_t>();
}

json const& array_field(json const& value, char const* field)
{
    static json const none = json::array();
    auto const it = value.find(field);
    if (it == value.end())
        return none;
    if (!it->is_array())
        fail(fmt::format("field \"{}\" must be an array", field));
    return *it;
}

label_set labels_field(json const& value)
{
    label_set res;
    auto const it = value.find("labels");
    if (it == value.end())
        return res;
    if (!it->is_object())
        fail("field \"labels\" must be an object of strings");
    for (auto const& label : it->items())
    {
        if (!label.value().is_string())
            fail(fmt::format("label \"{}\" must be a string", label.key()));
        res[label.key()] = label.value().get<std::string>();
    }
    return res;
}

json entry_json(endpoint_entry const& it)
{
    json res{{"id", it.id.str()}, {"labels", it.labels}};
    res["kind"] = it.kind == endpoint_kind::engine ? "engine" : "service";
    if (!it.service.empty())
        res["service"] = it.service.str();
    for (auto const& model : it.models)
        res["models"].push_back(json{{"model", model.model.str()},
                                     {"version", model.version.str()}});
    return res;
}

json entry_json(workspace_entry const& it)
{
    json res{{"id", it.id.str()},
             {"labels", it.labels},
             {"key_hashes", it.key_hashes},
             {"priority", it.priority}};
    if (it.completions_at_most_once)
        res["completions"] = "at_most_once";
    return res;
}

json entry_json(model_entry const& it)
{
    json versions = json::array();
    for (auto const& version : it.versions)
        versions.push_back(json{{"version", version.version.str()},
                                {"labels", version.labels}});
    return json{{"id", it.id.str()}, {"versions", std::move(versions)}};
}

json entry_json(service_entry const& it)
{
    json operations = json::array();
    for (auto const& operation : it.idempotent_operations)
        operations.push_back(
            json{{"method", operation.method}, {"path", operation.path}});
    return json{{"id", it.id.str()},
                {"labels", it.labels},
                {"idempotent_operations", std::move(operations)}};
}

json entry_json(rule_selectors const& it)
{
    return json{{"workspaces", it.workspaces},
                {"models", it.models},
                {"endpoints", it.endpoints}};
}

json entry_json(rule_entry const& it)
{
    auto res = entry_json(it.selectors);
    res["id"] = it.id;
    res["order"] = it.order;
    return res;
}

json entry_json(move_entry const& it)
{
    json stages = json::array();
    for (auto const& stage : it.stages)
    {
        json rules = json::array();
        for (auto const& rule : stage.rules)
            rules.push_back(entry_json(rule));
        stages.push_back(
            json{{"name", stage.name}, {"rules", std::move(rules)}});
    }
    return json{
        {"id", it.id}, {"stages", std::move(stages)}, {"stage", it.stage}};
}

std::vector<endpoint_model> endpoint_models(json const& value)
{
    std::vector<endpoint_model> res;
    // Rejected, because an empty list could be meant as "unload everything".
    if (value.contains("models") && array_field(value, "models").empty())
        fail("field \"models\" must name at least one version; remove it if "
             "the endpoint's models are managed elsewhere");
    for (auto const& it : array_field(value, "models"))
    {
        expect_object(it, {"model", "version"});
        res.push_back({kernel::model_id(string_field(it, "model")),
                       kernel::model_version(string_field(it, "version"))});
    }
    return res;
}

void parse(json const& value, endpoint_entry& out)
{
    expect_object(value, {"id", "kind", "service", "labels", "models"});
    out.id = kernel::endpoint_id(string_field(value, "id"));
    auto const kind = string_field_or(value, "kind", "engine");
    if (kind != "engine" && kind != "service")
        fail("field \"kind\" must be \"engine\" or \"service\"");
    out.kind =
        kind == "engine" ? endpoint_kind::engine : endpoint_kind::service;
    out.service = kernel::service_id(string_field_or(value, "service", ""));
    out.labels = labels_field(value);
    out.models = endpoint_models(value);
}

void parse(json const& value, workspace_entry& out)
{
    expect_object(value,
                  {"id", "labels", "key_hashes", "priority", "completions"});
    out.id = kernel::workspace_id(string_field(value, "id"));
    out.labels = labels_field(value);
    for (auto const& it : array_field(value, "key_hashes"))
    {
        if (!it.is_string())
            fail("field \"key_hashes\" must be an array of strings");
        out.key_hashes.push_back(it.get<std::string>());
    }
    out.priority = static_cast<std::uint8_t>(
        integer_field_or(value, "priority", 0, 255, out.priority));
    auto const completions =
        string_field_or(value, "completions", "repeatable");
    if (completions != "repeatable" && completions != "at_most_once")
        fail("field \"completions\" must be \"repeatable\" or "
             "\"at_most_once\"");
    out.completions_at_most_once = completions == "at_most_once";
}

void parse(json const& value, model_entry& out)
{
    expect_object(value, {"id", "versions"});
    out.id = kernel::model_id(string_field(value, "id"));
    for (auto const& it : array_field(value, "versions"))
    {
        expect_object(it, {"version", "labels"});
        out.versions.push_back(
            {kernel::model_version(string_field(it, "version")),
             labels_field(it)});
    }
}

void parse(json const& value, service_entry& out)
{
    expect_object(value, {"id", "labels", "idempotent_operations"});
    out.id = kernel::service_id(string_field(value, "id"));
    out.labels = labels_field(value);
    for (auto const& it : array_field(value, "idempotent_operations"))
    {
        expect_object(it, {"method", "path"});
        out.idempotent_operations.push_back(
            {string_field(it, "method"), string_field(it, "path")});
    }
}

rule_selectors parse_selectors(json const& value)
{
    return {string_field_or(value, "workspaces", ""),
            string_field_or(value, "models", ""),
            string_field_or(value, "endpoints", "")};
}

void parse(json const& value, rule_entry& out)
{
    expect_object(value, {"id", "order", "workspaces", "models", "endpoints"});
    out.id = string_field(value, "id");
    out.order = integer_field_or(value, "order",
                                 std::numeric_limits<std::int64_t>::min(),
                                 std::numeric_limits<std::int64_t>::max(), 0);
    out.selectors = parse_selectors(value);
}

void parse(json const& value, move_entry& out)
{
    expect_object(value, {"id", "stages", "stage"});
    out.id = string_field(value, "id");
    out.stage = string_field_or(value, "stage", "");
    for (auto const& it : array_field(value, "stages"))
    {
        expect_object(it, {"name", "rules"});
        move_stage stage;
        stage.name = string_field(it, "name");
        for (auto const& rule : array_field(it, "rules"))
        {
            expect_object(rule, {"workspaces", "models", "endpoints"});
            stage.rules.push_back(parse_selectors(rule));
        }
        out.stages.push_back(std::move(stage));
    }
}

constexpr std::array all_kinds{object_kind::endpoint, object_kind::workspace,
                               object_kind::model,    object_kind::service,
                               object_kind::rule,     object_kind::move};

object_kind parse_kind(std::string_view name)
{
    for (auto const it : all_kinds)
        if (to_string(it) == name)
            return it;
    fail(fmt::format("kind \"{}\" is unknown; use endpoint, workspace, model, "
                     "service, rule or move",
                     name));
}

template <typename Entry>
change_operation parse_put(json const& value, char const* field)
{
    expect_object(value, {"op", field});
    if (!value.contains(field))
        fail(fmt::format("field \"{}\" is missing", field));
    put_object<Entry> res;
    parse(value.at(field), res.entry);
    return res;
}

change_operation parse_put(object_kind kind, json const& value)
{
    switch (kind)
    {
    case object_kind::endpoint:
        return parse_put<endpoint_entry>(value, "endpoint");
    case object_kind::workspace:
        return parse_put<workspace_entry>(value, "workspace");
    case object_kind::model:
        return parse_put<model_entry>(value, "model");
    case object_kind::service:
        return parse_put<service_entry>(value, "service");
    case object_kind::rule:
        return parse_put<rule_entry>(value, "rule");
    case object_kind::move:
        return parse_put<move_entry>(value, "move");
    }
    fail("kind is unknown");
}

label_target parse_target(json const& value)
{
    return {parse_kind(string_field(value, "kind")), string_field(value, "id"),
            string_field_or(value, "version", "")};
}

change_operation parse_operation(json const& value)
{
    if (!value.is_object())
        fail("an operation must be a JSON object");
    auto const op = string_field(value, "op");
    if (op.starts_with("put_"))
        return parse_put(parse_kind(op.substr(4)), value);
    if (op.starts_with("delete_"))
    {
        expect_object(value, {"op", "id"});
        return delete_object{parse_kind(op.substr(7)),
                             string_field(value, "id")};
    }
    if (op == "set_label")
    {
        expect_object(value, {"op", "kind", "id", "version", "key", "value"});
        return set_label{parse_target(value), string_field(value, "key"),
                         string_field(value, "value")};
    }
    if (op == "remove_label")
    {
        expect_object(value, {"op", "kind", "id", "version", "key"});
        return remove_label{parse_target(value), string_field(value, "key")};
    }
    if (op == "set_stage")
    {
        expect_object(value, {"op", "move", "stage"});
        return set_stage{string_field(value, "move"),
                         string_field(value, "stage")};
    }
    fail(fmt::format("operation \"{}\" is unknown; use put_<kind>, "
                     "delete_<kind>, set_label, remove_label or set_stage",
                     op));
}

std::vector<change_operation> parse_operation_list(json const& value)
{
    std::vector<change_operation> res;
    std::size_t number = 0;
    for (auto const& it : value)
    {
        try
        {
            res.push_back(parse_operation(it));
        }
        catch (json_error const& ex)
        {
            fail(fmt::format("operation {}: {}", number, ex.what()));
        }
        ++number;
    }
    return res;
}

json target_json(char const* op, label_target const& target)
{
    json res{{"op", op}, {"kind", to_string(target.kind)}, {"id", target.id}};
    if (!target.version.empty())
        res["version"] = target.version;
    return res;
}

template <typename Entry>
json entries_json(config_data::entries<Entry> const& entries)
{
    json res = json::array();
    for (auto const& it : entries)
        res.push_back(entry_json(*it.second));
    return res;
}

template <typename Entry>
void parse_entries(json const& value, char const* field,
                   config_data::entries<Entry>& out)
{
    for (auto const& it : array_field(value, field))
    {
        Entry entry;
        parse(it, entry);
        auto id = string_field(it, "id");
        out[std::move(id)] = std::make_shared<Entry const>(std::move(entry));
    }
}

void parse_last_changes(json const& value, config_data& out)
{
    for (auto const& it : array_field(value, "changes"))
    {
        expect_object(it, {"version", "id", "author", "objects"});
        auto const info = std::make_shared<change_info const>(
            change_info{unsigned_field(it, "version"), string_field(it, "id"),
                        string_field(it, "author")});
        for (auto const& object : array_field(it, "objects"))
        {
            if (!object.is_string())
                fail("field \"objects\" must be an array of strings");
            out.last_changes[object.get<std::string>()] = info;
        }
    }
}

/// Passes the parsed JSON to `run` and converts exceptions to errors.
template <typename Parse>
auto parse_json(std::string_view bytes, Parse const& run)
    -> kernel::result<decltype(run(json()))>
{
    auto const parse_error = [](std::string message)
    {
        return kernel::error{kernel::error_kind::invalid_request,
                             std::move(message), kernel::run_state::not_run,
                             std::nullopt};
    };
    try
    {
        return run(json::parse(bytes));
    }
    catch (json_error const& ex)
    {
        return parse_error(ex.what());
    }
    catch (json::exception const& ex)
    {
        return parse_error(fmt::format("not valid JSON: {}", ex.what()));
    }
}

} // namespace

json to_json(change_operation const& operation)
{
    auto const put = [](object_kind kind, json entry)
    {
        std::string const name(to_string(kind));
        return json{{"op", "put_" + name}, {name, std::move(entry)}};
    };
    return std::visit(
        kernel::overloaded{
            [&](put_object<endpoint_entry> const& it)
            { return put(object_kind::endpoint, entry_json(it.entry)); },
            [&](put_object<workspace_entry> const& it)
            { return put(object_kind::workspace, entry_json(it.entry)); },
            [&](put_object<model_entry> const& it)
            { return put(object_kind::model, entry_json(it.entry)); },
            [&](put_object<service_entry> const& it)
            { return put(object_kind::service, entry_json(it.entry)); },
            [&](put_object<rule_entry> const& it)
            { return put(object_kind::rule, entry_json(it.entry)); },
            [&](put_object<move_entry> const& it)
            { return put(object_kind::move, entry_json(it.entry)); },
            [](delete_object const& it)
            {
                return json{
                    {"op", fmt::format("delete_{}", to_string(it.kind))},
                    {"id", it.id}};
            },
            [](set_label const& it)
            {
                auto res = target_json("set_label", it.target);
                res["key"] = it.key;
                res["value"] = it.value;
                return res;
            },
            [](remove_label const& it)
            {
                auto res = target_json("remove_label", it.target);
                res["key"] = it.key;
                return res;
            },
            [](set_stage const& it) {
                return json{{"op", "set_stage"},
                            {"move", it.move},
                            {"stage", it.stage}};
            }},
        operation);
}

json to_json(change const& value)
{
    json operations = json::array();
    for (auto const& it : value.operations)
        operations.push_back(to_json(it));
    return json{{"id", value.id},
                {"author", value.author},
                {"operations", std::move(operations)},
                {"seen", value.seen}};
}

kernel::result<change> parse_change(std::string_view text)
{
    return parse_json(
        text,
        [](json const& value)
        {
            expect_object(value, {"id", "author", "operations", "seen"});
            change res;
            res.id = string_field(value, "id");
            res.author = string_field(value, "author");
            res.operations =
                parse_operation_list(array_field(value, "operations"));
            if (value.contains("seen"))
                for (auto const& it : value.at("seen").items())
                    res.seen[it.key()] =
                        unsigned_field(value.at("seen"), it.key().c_str());
            return res;
        });
}

kernel::result<std::vector<change_operation>>
parse_operations(std::string_view text)
{
    return parse_json(text,
                      [](json const& value)
                      {
                          if (value.is_array())
                              return parse_operation_list(value);
                          expect_object(value, {"operations"});
                          return parse_operation_list(
                              array_field(value, "operations"));
                      });
}

json to_json(config_data const& data)
{
    // Objects are grouped by change to keep the JSON text below the frame limit
    // of 16 MiB: a change id is longer than most entries.
    std::map<kernel::config_version, json> changes;
    for (auto const& [object, info] : data.last_changes)
    {
        auto& it = changes[info->version];
        if (it.is_null())
            it = json{{"version", info->version},
                      {"id", info->id},
                      {"author", info->author},
                      {"objects", json::array()}};
        it["objects"].push_back(object);
    }
    json list = json::array();
    for (auto& it : changes)
        list.push_back(std::move(it.second));
    return json{{"version", data.version},
                {"endpoints", entries_json(data.endpoints)},
                {"workspaces", entries_json(data.workspaces)},
                {"models", entries_json(data.models)},
                {"services", entries_json(data.services)},
                {"rules", entries_json(data.rules)},
                {"moves", entries_json(data.moves)},
                {"changes", std::move(list)}};
}

kernel::result<config_data> parse_config_data(std::string_view text)
{
    return parse_json(text,
                      [](json const& value)
                      {
                          expect_object(value,
                                        {"version", "endpoints", "workspaces",
                                         "models", "services", "rules", "moves",
                                         "changes"});
                          config_data res;
                          res.version = unsigned_field(value, "version");
                          parse_entries(value, "endpoints", res.endpoints);
                          parse_entries(value, "workspaces", res.workspaces);
                          parse_entries(value, "models", res.models);
                          parse_entries(value, "services", res.services);
                          parse_entries(value, "rules", res.rules);
                          parse_entries(value, "moves", res.moves);
                          parse_last_changes(value, res);
                          for (auto const& [id, it] : res.workspaces)
                              for (auto const& hash : it->key_hashes)
                                  res.key_owners[hash] = id;
                          return res;
                      });
}

} // namespace endiveward::config

#include "follower/cluster_view.hpp"
#include "follower/i_cluster_observer.hpp"
#include "follower/table_follower.hpp"
#include "follower/tests/support/run_due.hpp"
#include "follower/tests/support/versioned_decoder.hpp"
#include "gateway/routing_table.hpp"
#include "kernel/manual_clock.hpp"
#include "kernel/seeded_random_source.hpp"
#include "kernel/tests/support/property_check.hpp"
#include "observe/decision_log.hpp"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <compare>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace endiveward::follower
{

namespace
{

using std::chrono::seconds;
using storage::feed_error;
using storage::row_batch;
using storage::table_row;

constexpr char const* operators_table = "operators";
constexpr char const* endpoints_table = "endpoints";
constexpr std::size_t endpoint_count = 3;
/// Greatest age of the copy that the store is restored from.
constexpr seconds max_copy_age{20};
/// For which the process may show the known state instead of the copy's.
constexpr seconds hold{10};
/// After which the process forgets removed endpoints.
constexpr seconds removed_retention{60};
/// Separates the operator's versions from what a planted fault adds to them.
constexpr std::uint64_t version_range = 100'000;

/// Defects that the property must find.
enum class planted_fault : std::uint8_t
{
    none,
    /// The adapter does not read the era.
    era_ignored,
    /// Answers from before a restore are taken for new ones.
    late_answers_accepted,
    /// Rows of other processes are taken for rows of the present era.
    era_of_peers_ignored,
    /// The first full read of an era is applied like other changes.
    nothing_held,
    /// The operator's versions are compared within an era only.
    content_compared_by_era,
    /// Rows that the copy lacks stay.
    rows_not_replaced
};

/// The store as of one moment.
struct store_state
{
    std::uint64_t era = 1;
    std::uint64_t version = 0;
    /// Changes after this version are still known.
    std::uint64_t history_from = 0;
    kernel::steady_time at{};
    /// The last change of each row, deleted ones included.
    std::map<std::pair<std::string, std::string>, table_row> rows;
};

/// A store that can be restored from an earlier state.
class model_store
{
public:
    void write(std::string const& table, std::string const& key,
               std::optional<std::string> const& value, kernel::steady_time now)
    {
        ++state_.version;
        state_.at = now;
        state_.rows[{table, key}] = {key, value.value_or(""), position(),
                                     !value.has_value()};
        copies_.push_back(state_);
    }

    /// Restores one of the recent states.
    void restore(std::size_t choice, kernel::steady_time now)
    {
        std::vector<store_state> recent;
        for (auto const& it : copies_)
        {
            if (now - it.at <= max_copy_age)
                recent.push_back(it);
        }
        auto const era = state_.era + 1;
        if (!recent.empty())
            state_ = recent[choice % recent.size()];
        state_.era = era;
        for (auto& [key, it] : state_.rows)
            it.position.era = era;
        copies_.push_back(state_);
        copies_.back().at = now;
    }

    void forget_history() { state_.history_from = state_.version; }

    store_state const& state() const { return state_; }
    kernel::store_position position() const
    {
        return {state_.era, state_.version};
    }

private:
    store_state state_;
    std::vector<store_state> copies_;
};

storage::i_row_feed::batch_result answer_full_read(store_state const& state,
                                                   std::string const& table)
{
    row_batch res;
    res.position = {state.era, state.version};
    for (auto const& [key, it] : state.rows)
    {
        if (key.first == table && !it.deleted)
            res.rows.push_back(it);
    }
    return res;
}

// The store compares nothing but the number.
storage::i_row_feed::batch_result answer_changes(store_state const& state,
                                                 std::string const& table,
                                                 std::uint64_t after)
{
    if (after > state.version || after < state.history_from)
        return feed_error{
            feed_error::reason::history_lost, "status=410", state.era, {}};
    row_batch res;
    res.position = {state.era, state.version};
    for (auto const& [key, it] : state.rows)
    {
        if (key.first == table && it.position.version > after)
            res.rows.push_back(it);
    }
    std::sort(res.rows.begin(), res.rows.end(),
              [](auto const& a, auto const& b)
              { return a.position < b.position; });
    return res;
}

struct open_call
{
    std::string table;
    /// Position of a call for changes; none for a full read.
    std::optional<kernel::store_position> after;
    /// When the call was made.
    store_state state;
    storage::i_row_feed::batch_handler on_done;
};

/// Keeps the calls of both followers open until the history answers them.
struct open_feed : storage::i_row_feed
{
    explicit open_feed(model_store const& target)
        : store(target)
    {
    }

    void read_all(std::string const& table, std::chrono::milliseconds,
                  batch_handler on_done) override
    {
        calls.push_back(
            {table, std::nullopt, store.state(), std::move(on_done)});
    }

    void wait_for_changes(std::string const& table,
                          kernel::store_position const& after,
                          std::chrono::milliseconds, std::chrono::milliseconds,
                          batch_handler on_done) override
    {
        calls.push_back({table, after, store.state(), std::move(on_done)});
    }

    model_store const& store;
    std::vector<open_call> calls;
};

/// Adds to the operator's versions what a planted fault needs.
struct biased_decoder : tests::versioned_decoder
{
    kernel::result<operator_entry>
    decode_operator_row(std::string const& key,
                        std::string const& value) const override
    {
        auto res = versioned_decoder::decode_operator_row(key, value);
        auto& entry = kernel::value(res);
        if (auto* config = std::get_if<gateway::routing_config>(&entry))
            config->version += bias;
        if (auto* target = std::get_if<weights::model_target>(&entry))
            target->version += bias;
        return res;
    }

    std::uint64_t bias = 0;
};

/// What the writers of the rows know; it never goes back.
struct endpoint_truth
{
    kernel::incarnation incarnation = 1;
    /// 0 ready, 1 draining, 2 gone.
    int stage = 2;

    // clang-tidy 14 takes the zero of a rewritten comparison for a pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(endpoint_truth const&) const = default;
};

std::optional<std::string> row_of(endpoint_truth const& it)
{
    if (it.stage == 2)
        return std::nullopt;
    return (it.stage == 1 ? "draining/" : "ready/") +
           std::to_string(it.incarnation);
}

struct recording_observer : i_cluster_observer
{
    void on_configuration(
        std::shared_ptr<gateway::routing_table const> table) override
    {
        configs.push_back(table->version() % version_range);
    }

    void
    on_endpoints(std::vector<gateway::endpoint_entry> const& endpoints) override
    {
        std::map<std::string, endpoint_truth> shown;
        for (auto const& it : endpoints)
            shown[it.id.str()] = {it.incarnation, it.draining ? 1 : 0};
        lists.push_back(std::move(shown));
    }

    void on_target(weights::model_target const& target, table_row const&,
                   std::optional<kernel::steady_time>) override
    {
        targets.push_back(target.version % version_range);
    }

    std::vector<std::uint64_t> configs;
    std::vector<std::uint64_t> targets;
    std::vector<std::map<std::string, endpoint_truth>> lists;
};

/// Passes on what a follower reports, without the holds if that fault is
/// planted.
class passing_listener : public i_table_listener
{
public:
    passing_listener(i_table_listener& target, planted_fault fault)
        : target_(target)
        , fault_(fault)
    {
    }

    void on_rows(std::vector<table_row> const& changed,
                 kernel::store_position const& position) override
    {
        target_.on_rows(changed, position);
    }
    void on_restored_rows(std::vector<table_row> const& rows,
                          kernel::store_position const& position) override
    {
        if (fault_ == planted_fault::nothing_held)
            target_.on_rows(rows, position);
        else
            target_.on_restored_rows(rows, position);
    }
    void on_era_notice(era_notice const& notice) override
    {
        target_.on_era_notice(notice);
    }
    void on_contact_change(contact_change const& change) override
    {
        target_.on_contact_change(change);
    }

private:
    i_table_listener& target_;
    planted_fault fault_;
};

follower_options options_for(char const* table)
{
    follower_options res;
    res.table = table;
    res.coalescing_delay = res.initial_backoff = res.max_backoff =
        res.restored_read_spread = std::chrono::milliseconds(0);
    return res;
}

/// The classes under test as one process assembles them.
struct process
{
    process(model_store const& store, kernel::i_clock const& clock,
            planted_fault fault)
        : log(clock, "test", 0)
        , random(1)
        , feed(store)
        , view(context, clock, decoder, observer, log)
        , operators_listener(view.operator_rows_listener(), fault)
        , endpoints_listener(view.endpoint_rows_listener(), fault)
        , operators(std::make_shared<table_follower>(
              context, clock, feed, random, operators_listener,
              options_for(operators_table)))
        , endpoints(std::make_shared<table_follower>(
              context, clock, feed, random, endpoints_listener,
              options_for(endpoints_table)))
    {
        operators->start();
        endpoints->start();
    }

    ~process()
    {
        operators->stop();
        endpoints->stop();
        feed.calls.clear();
        run();
    }

    process(process const&) = delete;
    process& operator=(process const&) = delete;

    void run() { tests::run_due(context); }

    asio::io_context context;
    observe::decision_log log;
    kernel::seeded_random_source random;
    open_feed feed;
    biased_decoder decoder;
    recording_observer observer;
    cluster_view view;
    passing_listener operators_listener;
    passing_listener endpoints_listener;
    std::shared_ptr<table_follower> operators;
    std::shared_ptr<table_follower> endpoints;
};

enum class step_kind : std::uint8_t
{
    name_config,
    name_target,
    change_endpoint,
    answer_now,
    answer_late,
    refuse,
    restore,
    write_again,
    peer_rows,
    peer_era,
    forget_history,
    advance,
    restart
};

struct step
{
    step_kind kind = step_kind::answer_now;
    std::size_t choice = 0;
};

std::ostream& operator<<(std::ostream& os, step const& it)
{
    constexpr std::array names = {
        "name_config", "name_target", "change_endpoint", "answer_now",
        "answer_late", "refuse",      "restore",         "write_again",
        "peer_rows",   "peer_era",    "forget_history",  "advance",
        "restart"};
    return os << names.at(static_cast<std::size_t>(it.kind)) << "(" << it.choice
              << ")";
}

/// One history of the store, its writers and a process that follows it.
class simulation
{
public:
    explicit simulation(planted_fault fault)
        : fault_(fault)
    {
        clock_.advance(seconds(100));
        write_all();
        start_process();
    }

    void perform(step const& it)
    {
        switch (it.kind)
        {
        case step_kind::name_config:
            ++config_;
            write_config();
            break;
        case step_kind::name_target:
            ++target_;
            write_target();
            break;
        case step_kind::change_endpoint:
            change_endpoint(it.choice % endpoint_count);
            break;
        case step_kind::answer_now:
            answer(it.choice, false);
            break;
        case step_kind::answer_late:
            answer(it.choice, true);
            break;
        case step_kind::refuse:
            refuse(it.choice);
            break;
        case step_kind::restore:
            store_.restore(it.choice, clock_.now());
            break;
        case step_kind::write_again:
            write_again(it.choice);
            break;
        case step_kind::peer_rows:
            merge_from_peer(it.choice);
            break;
        case step_kind::peer_era:
            if (fault_ != planted_fault::era_ignored)
                process_->operators->on_named_era(store_.state().era);
            break;
        case step_kind::forget_history:
            store_.forget_history();
            break;
        case step_kind::advance:
            clock_.advance(seconds(1 + it.choice % 4));
            process_->view.release_held_entries();
            break;
        case step_kind::restart:
            start_process();
            break;
        }
        process_->run();
        verify(it.kind == step_kind::advance);
    }

    /// The writers write again and all calls are answered: the process ends
    /// with the state of the store.
    void finish()
    {
        write_all();
        constexpr int rounds = 8;
        for (int n = 0; n < rounds; ++n)
        {
            auto const open = process_->feed.calls.size();
            for (std::size_t call = 0; call < open; ++call)
                answer(0, false);
            process_->run();
            verify(false);
        }
        clock_.advance(hold + seconds(1));
        process_->view.release_held_entries();
        process_->run();
        verify(true);
        check_rows(*process_->operators, operators_table);
        check_rows(*process_->endpoints, endpoints_table);
        RC_ASSERT(process_->view.config_version() % version_range == config_);
        RC_ASSERT(!process_->observer.targets.empty());
        RC_ASSERT(process_->observer.targets.back() == target_);
        std::map<std::string, endpoint_truth> expected;
        for (std::size_t n = 0; n < endpoint_count; ++n)
        {
            if (endpoints_.at(n).stage != 2)
                expected[key_of(n)] = endpoints_.at(n);
        }
        RC_ASSERT((last_list_ == expected));
    }

private:
    static std::string key_of(std::size_t n) { return "e" + std::to_string(n); }

    void start_process()
    {
        process_ = std::make_unique<process>(store_, clock_, fault_);
        last_list_.clear();
        known_.clear();
        restored_at_.reset();
        positions_ = {};
    }

    void write_config()
    {
        write(operators_table, "config", "c" + std::to_string(config_));
    }

    void write_target()
    {
        write(operators_table, "target", "t" + std::to_string(target_));
    }

    void write_endpoint(std::size_t n)
    {
        auto const row = row_of(endpoints_.at(n));
        auto const found =
            store_.state().rows.find({endpoints_table, key_of(n)});
        auto const present =
            found != store_.state().rows.end() && !found->second.deleted;
        if (row || present)
            write(endpoints_table, key_of(n), row);
    }

    void write(char const* table, std::string const& key,
               std::optional<std::string> const& value)
    {
        store_.write(table, key, value, clock_.now());
        if (table == std::string_view(operators_table))
            written_.push_back({key, *value, store_.position(), false});
    }

    void write_all()
    {
        write_config();
        write_target();
        for (std::size_t n = 0; n < endpoint_count; ++n)
            write_endpoint(n);
    }

    void write_again(std::size_t choice)
    {
        auto const n = choice % (endpoint_count + 2);
        if (n < endpoint_count)
            write_endpoint(n);
        else if (n == endpoint_count)
            write_config();
        else
            write_target();
    }

    /// Ready, draining, gone, and then the next incarnation.
    void change_endpoint(std::size_t n)
    {
        auto& it = endpoints_.at(n);
        if (++it.stage > 2)
        {
            ++it.incarnation;
            it.stage = 0;
        }
        write_endpoint(n);
    }

    void answer(std::size_t choice, bool late)
    {
        auto& calls = process_->feed.calls;
        if (calls.empty())
            return;
        auto const at =
            calls.begin() + static_cast<std::ptrdiff_t>(choice % calls.size());
        auto const call = std::move(*at);
        calls.erase(at);
        auto const& state = late ? call.state : store_.state();
        auto res = call.after
                       ? answer_changes(state, call.table, call.after->version)
                       : answer_full_read(state, call.table);
        plant(res, call, state);
        process_->decoder.bias =
            fault_ == planted_fault::content_compared_by_era
                ? state.era * version_range
                : 0;
        call.on_done(std::move(res));
    }

    void plant(storage::i_row_feed::batch_result& res, open_call const& call,
               store_state const& state) const
    {
        if (fault_ == planted_fault::era_ignored)
            set_era(res, 0);
        if (fault_ == planted_fault::late_answers_accepted)
            set_era(res, store_.state().era);
        auto* batch = std::get_if<row_batch>(&res);
        if (fault_ != planted_fault::rows_not_replaced || call.after ||
            batch == nullptr)
            return;
        std::set<std::string> present;
        for (auto const& it : batch->rows)
            present.insert(it.key);
        for (auto const& [key, it] : follower_of(call.table).rows())
        {
            if (!present.contains(key) && it.position.era < state.era)
                batch->rows.push_back({key, it.value, {state.era, 1}, false});
        }
    }

    table_follower const& follower_of(std::string const& table) const
    {
        return table == operators_table ? *process_->operators
                                        : *process_->endpoints;
    }

    static void set_era(storage::i_row_feed::batch_result& res,
                        std::uint64_t era)
    {
        if (auto* error = std::get_if<feed_error>(&res))
        {
            error->era = era;
            return;
        }
        auto& batch = std::get<row_batch>(res);
        batch.position.era = era;
        for (auto& it : batch.rows)
            it.position.era = era;
    }

    void refuse(std::size_t choice)
    {
        auto& calls = process_->feed.calls;
        if (calls.empty())
            return;
        auto const call = std::move(calls.front());
        calls.erase(calls.begin());
        auto const named =
            choice % 2 == 0 && fault_ != planted_fault::era_ignored;
        call.on_done(feed_error{choice % 3 == 0
                                    ? feed_error::reason::refused
                                    : feed_error::reason::unreachable,
                                "refused",
                                named ? store_.state().era : 0,
                                {}});
    }

    /// A row that another process has read at some time. One of an earlier
    /// version of the program names no era.
    void merge_from_peer(std::size_t choice)
    {
        auto row = written_[choice % written_.size()];
        if (fault_ == planted_fault::era_ignored || choice % 5 == 0)
            row.position.era = 0;
        if (fault_ == planted_fault::era_of_peers_ignored)
            row.position.era = store_.state().era;
        if (fault_ == planted_fault::content_compared_by_era)
            process_->decoder.bias = row.position.era * version_range;
        process_->operators->merge({row});
    }

    /// A hold that is over removes an endpoint that the copy lacks, and the
    /// copy one that drains, without knowing whether it is gone.
    void verify(bool released)
    {
        auto& observer = process_->observer;
        verify_versions(observer.configs, config_);
        verify_versions(observer.targets, target_);
        verify_position(*process_->operators, positions_[0]);
        auto const replaced =
            verify_position(*process_->endpoints, positions_[1]);
        if (replaced)
            restored_at_ = clock_.now();
        for (auto& it : observer.lists)
        {
            verify_list(it, released || replaced);
            last_list_ = std::move(it);
        }
        observer.lists.clear();
    }

    static void verify_versions(std::vector<std::uint64_t> const& shown,
                                std::uint64_t newest)
    {
        RC_ASSERT(std::is_sorted(shown.begin(), shown.end()));
        RC_ASSERT((shown.empty() || shown.back() <= newest));
    }

    /// Returns whether a new era was read.
    static bool verify_position(table_follower const& follower,
                                kernel::store_position& last)
    {
        auto const position = follower.position();
        RC_ASSERT(position >= last);
        auto const restored =
            last != kernel::store_position() && position.era > last.era;
        last = position;
        return restored;
    }

    /// An endpoint is not shown in an older state than the process knew, unless
    /// the writers have not corrected the copy for longer than the hold.
    void verify_list(std::map<std::string, endpoint_truth> const& shown,
                     bool released)
    {
        auto const now = clock_.now();
        auto const in_gap = !restored_at_ || now < *restored_at_ + hold;
        for (std::size_t n = 0; n < endpoint_count; ++n)
        {
            auto const key = key_of(n);
            auto const found = shown.find(key);
            auto const known = known_.find(key);
            if (found == shown.end())
            {
                if (known != known_.end() && last_list_.contains(key) &&
                    !released)
                    known->second = {{known->second.state.incarnation, 2}, now};
                continue;
            }
            auto const older =
                known != known_.end() && found->second < known->second.state;
            auto const forgotten = known != known_.end() &&
                                   known->second.state.stage == 2 &&
                                   now - known->second.at >= removed_retention;
            if (older && !forgotten && found->second != endpoints_.at(n))
                RC_ASSERT(!in_gap);
            known_[key] = {found->second, now};
        }
    }

    void check_rows(table_follower const& follower, char const* table) const
    {
        std::map<std::string, table_row> expected;
        for (auto const& [key, it] : store_.state().rows)
        {
            if (key.first == table && !it.deleted)
                expected[key.second] = it;
        }
        RC_ASSERT((follower.rows() == expected));
        RC_ASSERT((follower.position() == store_.position()));
    }

    struct known_endpoint
    {
        endpoint_truth state;
        kernel::steady_time at{};
    };

    planted_fault fault_;
    kernel::manual_clock clock_;
    model_store store_;
    std::uint64_t config_ = 1;
    std::uint64_t target_ = 1;
    std::array<endpoint_truth, endpoint_count> endpoints_{};
    /// Rows of the operators' table as they were at any time.
    std::vector<table_row> written_;
    std::unique_ptr<process> process_;
    /// The endpoints that the process uses.
    std::map<std::string, endpoint_truth> last_list_;
    std::map<std::string, known_endpoint> known_;
    std::optional<kernel::steady_time> restored_at_;
    std::array<kernel::store_position, 2> positions_{};
};

rc::Gen<step> gen_step()
{
    using kind = step_kind;
    return rc::gen::apply(
        [](kind it, std::size_t choice) {
            return step{it, choice};
        },
        rc::gen::weightedElement<kind>({{2, kind::name_config},
                                        {1, kind::name_target},
                                        {6, kind::change_endpoint},
                                        {10, kind::answer_now},
                                        {3, kind::answer_late},
                                        {1, kind::refuse},
                                        {3, kind::restore},
                                        {2, kind::write_again},
                                        {2, kind::peer_rows},
                                        {1, kind::peer_era},
                                        {1, kind::forget_history},
                                        {2, kind::advance},
                                        {1, kind::restart}}),
        rc::gen::inRange<std::size_t>(0, 60));
}

void check_histories(planted_fault fault, int cases,
                     kernel::tests::expected_verdict expected)
{
    kernel::tests::check_property(
        [fault]
        {
            auto const steps =
                *rc::gen::container<std::vector<step>>(gen_step());
            simulation it(fault);
            for (auto const& each : steps)
                it.perform(each);
            it.finish();
        },
        {cases, 60}, expected);
}

} // namespace

// Guards against state that goes back to that of a restored copy, rows of two
// histories in one copy of a table, and a process that never agrees with the
// store again.
TEST_CASE("random restores of the store do not undo what a process knows",
          "[property]")
{
    check_histories(planted_fault::none, 10'000,
                    kernel::tests::expected_verdict::holds);
}

// Guards against a property that passes whatever the classes do.
TEST_CASE("planted faults in following a restored store are detected",
          "[property]")
{
    auto const fault = GENERATE(
        planted_fault::era_ignored, planted_fault::late_answers_accepted,
        planted_fault::era_of_peers_ignored, planted_fault::nothing_held,
        planted_fault::content_compared_by_era,
        planted_fault::rows_not_replaced);
    CAPTURE(static_cast<int>(fault));
    check_histories(fault, 10'000,
                    kernel::tests::expected_verdict::counterexample);
}

} // namespace endiveward::follower

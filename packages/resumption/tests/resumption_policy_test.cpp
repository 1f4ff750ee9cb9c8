#include "resumption/resumption_policy.hpp"

#include "resumption/types/resumption_facts.hpp"

#include <catch2/catch.hpp>

namespace endiveward::resumption
{

namespace
{

kernel::software_version const v1("v1");
kernel::software_version const v2("v2");

resumption_facts asked_facts(std::set<kernel::software_version> versions)
{
    resumption_facts res;
    res.versions = std::move(versions);
    res.asked = true;
    res.answered = true;
    res.linked = true;
    res.list_is_current = true;
    res.history_complete = true;
    return res;
}

} // namespace

// Load pattern: a router ends, and its callers take up their streams at others.
TEST_CASE("a stream goes on at the version that is known to have begun it")
{
    auto facts = asked_facts({v1, v2});
    facts.asked = GENERATE(true, false);
    facts.origin = v1;
    CHECK(decide_resumption(facts) == resumption_decision(resume_at{v1}));
}

// Load pattern: all routers end at once. Guards against a resumption at the
// only listed version although another one has gone since.
TEST_CASE("agents are asked before the list of endpoints decides")
{
    resumption_facts facts;
    facts.versions = {v1};
    facts.list_is_current = true;
    CHECK(decide_resumption(facts) == resumption_decision(ask_agents{}));
}

// Load pattern: a service with a single version, whose streams are told to
// nobody. Guards against refusing them.
TEST_CASE("an unknown stream goes on at the only version")
{
    CHECK(decide_resumption(asked_facts({v1})) ==
          resumption_decision(resume_at{v1}));
    CHECK(decide_resumption(asked_facts({v1, v2})) ==
          resumption_decision(reject_resumption{}));
    CHECK(decide_resumption(asked_facts({})) ==
          resumption_decision(reject_resumption{}));
}

// Load pattern: a router is cut off from store and agents and does not know of
// the version that the others have used since.
TEST_CASE("a router that hears of nobody does not trust its list")
{
    auto facts = asked_facts({v1});
    facts.answered = false;
    // Agents are connected and silent.
    CHECK(decide_resumption(facts) == resumption_decision(reject_resumption{}));
    facts.linked = false;
    facts.list_is_current = false;
    CHECK(decide_resumption(facts) == resumption_decision(reject_resumption{}));
    // A deployment without agents.
    facts.list_is_current = true;
    CHECK(decide_resumption(facts) == resumption_decision(resume_at{v1}));
}

// Load pattern: all routers end at once while a version leaves. Guards against
// taking the list or the answers of agents for the whole history.
TEST_CASE("an unknown stream is refused without a complete history")
{
    auto facts = asked_facts({v1});
    facts.history_complete = false;
    CHECK(decide_resumption(facts) == resumption_decision(reject_resumption{}));
    facts.linked = false;
    facts.answered = false;
    CHECK(decide_resumption(facts) == resumption_decision(reject_resumption{}));
    facts.origin = v1;
    CHECK(decide_resumption(facts) == resumption_decision(resume_at{v1}));
}

} // namespace endiveward::resumption

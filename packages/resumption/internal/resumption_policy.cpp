#include "resumption/resumption_policy.hpp"

#include "resumption/types/resumption_facts.hpp"

namespace endiveward::resumption
{

// Load patterns:
// - A router ends, and its callers take up their streams at others: agents know
//   where they began, as soon as the router has sent the requests.
// - All routers end at once: each asks agents. The list of endpoints alone does
//   not tell of versions that have gone since.
// - A service has one version: no origin is told to agents. Streams go on at
//   that version, unless agents know of another one.
// - All routers end at once while a version leaves: agents know of no stream
//   that began while there was one version, and those that started since know
//   nothing. Only the recorded versions tell that there was one all the time.
// - A router is cut off from store and agents: its list may lack a version that
//   the others use, so that even a single one is not proof.
// - A deployment without agents: nobody can be asked. With a list that is read,
//   a single version is taken for the right one.
resumption_decision decide_resumption(resumption_facts const& facts)
{
    if (facts.origin)
        return resume_at{*facts.origin};
    if (!facts.asked)
        return ask_agents{};
    auto const list_suffices = !facts.linked && facts.list_is_current;
    if (facts.versions.size() == 1 && facts.history_complete &&
        (facts.answered || list_suffices))
        return resume_at{*facts.versions.begin()};
    return reject_resumption{};
}

} // namespace endiveward::resumption

#include "control/edit_checks.hpp"

#include "common/error.hpp"
#include "control/fleet_codec.hpp"
#include "control/lists_codec.hpp"

#include <algorithm>

namespace fireflysail
{

edit_checks::edit_checks(store& objects)
    : objects{objects}
{
}

result<std::vector<mistake>>
edit_checks::find_mistakes(const proposed_edit& proposed)
{
    switch (proposed.kind)
    {
    case entry_kind::plan:
        return proposed.entry ? this->find_plan_mistakes(proposed)
                              : std::vector<mistake>{};
    case entry_kind::entitlement:
        return proposed.entry ? std::vector<mistake>{}
                              : this->find_entitlement_mistakes(proposed);
    case entry_kind::mark:
        break;
    }
    return this->find_server_mistakes(proposed);
}

result<std::vector<mistake>>
edit_checks::find_plan_mistakes(const proposed_edit& proposed)
{
    const auto snapshot =
        this->objects.list({plan_kind, entitlement_kind}, proposed.deadline);
    if (!snapshot)
    {
        return snapshot.error();
    }
    const auto digests =
        proposed.entry->at("key_digests").get<std::vector<std::string>>();
    const auto plan = proposed.entry->at("plan").get<std::string>();
    bool has_entitlement = false;
    std::vector<mistake> mistakes;
    for (const auto& [key, value, version] : snapshot.value().objects)
    {
        if (key.kind == entitlement_kind)
        {
            const auto other = decode_entitlement(key.name, value, version);
            // The last valid version of a malformed entitlement stays in force.
            const bool in_force = !other || other.value().entry;
            has_entitlement |= key.name == plan && in_force;
            continue;
        }
        const auto other = decode_plan(key.name, value, version);
        const bool shares_digest =
            key.name != proposed.name && other && other.value().entry &&
            std::ranges::find_first_of(
                other.value().entry->key_digests, digests) !=
                other.value().entry->key_digests.end();
        if (shares_digest)
        {
            mistakes.push_back(
                {"key_digests", "a key of workspace " + key.name});
        }
    }
    if (!has_entitlement)
    {
        mistakes.push_back({"plan", "has no entitlement"});
    }
    return mistakes;
}

result<std::vector<mistake>>
edit_checks::find_entitlement_mistakes(const proposed_edit& proposed)
{
    const auto snapshot = this->objects.list({plan_kind}, proposed.deadline);
    if (!snapshot)
    {
        return snapshot.error();
    }
    std::vector<mistake> mistakes;
    for (const auto& [key, value, version] : snapshot.value().objects)
    {
        const auto other = decode_plan(key.name, value, version);
        if (other && other.value().entry &&
            other.value().entry->plan.str() == proposed.name)
        {
            mistakes.push_back(
                {"name", "is the plan of workspace " + key.name});
        }
    }
    return mistakes;
}

result<std::vector<mistake>>
edit_checks::find_server_mistakes(const proposed_edit& proposed)
{
    const auto mark =
        proposed.entry ? proposed.entry->at("mark").get<std::string>() : "";
    // A server may be marked as joining before it registers.
    if (mark == to_string(server_mark::joining))
    {
        return std::vector<mistake>{};
    }
    const auto server =
        this->objects.get({server_kind, proposed.name}, proposed.deadline);
    if (server)
    {
        return std::vector<mistake>{};
    }
    if (server.error() == errc::not_found)
    {
        return std::vector<mistake>{{"name", "no such backend server"}};
    }
    return server.error();
}

} // namespace fireflysail

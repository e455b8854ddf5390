#pragma once

#include "blackboard/lists.hpp"
#include "common/clock.hpp"
#include "common/result.hpp"
#include "control/field_reader.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflysail
{

inline constexpr const char* plan_kind = "plan";
inline constexpr const char* entitlement_kind = "entitlement";

/// Record of one accepted edit: its author, time and versions.
struct edit_record
{
    edit_id id;
    std::string user;
    office_id office;
    wall_time at;
    /// Store version that the edit replaced; zero for a new object.
    revision based_on;
    /// Store version that the edit created. Stored as zero for the latest edit
    /// of an object, whose version is that of the object itself.
    revision version;
    bool removal = false;

    auto operator<=>(const edit_record&) const = default;
};

/// A stored list entry with its edit history. A removed entry stays in the
/// store as a tombstone, an object without an entry, so that its last edit can
/// still be read.
template <class Entry>
struct list_object
{
    std::optional<Entry> entry;
    edit_record last_edit;
    /// Earlier edits, oldest first.
    std::vector<edit_record> earlier_edits;
};

/// A list object whose entry is the JSON document that operators read and
/// write.
using entry_object = list_object<nlohmann::json>;
using plan_object = list_object<plan_entry>;
using entitlement_object = list_object<entitlement_entry>;

std::string encode(const entry_object& object);
std::string encode(const plan_object& object);
std::string encode(const entitlement_object& object);

/// Decode stored objects. Errors: errc::malformed if any field is invalid.
result<plan_object> decode_plan(
    const std::string& workspace, std::string_view value, revision version);
result<entitlement_object> decode_entitlement(
    const std::string& plan, std::string_view value, revision version);
result<edit_record> decode_edit_record(const nlohmann::json& value);

/// Parse an operator's document. Every mistake is reported, unknown fields are
/// mistakes, and fields with a safe default may be omitted.
plan_entry parse_plan(
    const std::string& workspace,
    std::string_view document,
    std::vector<mistake>& mistakes);
entitlement_entry parse_entitlement(
    const std::string& plan,
    std::string_view document,
    std::vector<mistake>& mistakes);

/// JSON representation of entries and edits for operators.
nlohmann::json to_json(const plan_entry& entry);
nlohmann::json to_json(const entitlement_entry& entry);
nlohmann::json to_json(const edit_record& record);

} // namespace fireflysail

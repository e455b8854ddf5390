#pragma once

#include "common/identifiers.hpp"

#include <absl/container/flat_hash_set.h>

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace fireflysail
{

/// Table of the store's objects of one kind. A write never replaces a newer
/// version, and a malformed write leaves the last valid value in force.
template <class Value>
class object_table
{
public:
    struct slot
    {
        /// Empty if only malformed writes have been received.
        std::optional<Value> value;
        revision version;
        /// Version of the latest malformed write since `version`, if any.
        std::optional<revision> rejected;
    };

    /// Applies a write. Returns false if the table already has this version or
    /// a newer one.
    bool write(const std::string& name, Value value, revision version)
    {
        auto& found = this->slots[name];
        if (found.version >= version)
        {
            return false;
        }
        found = {std::move(value), version, std::nullopt};
        return true;
    }

    /// Records that the object could not be decoded at `version`.
    void reject(const std::string& name, revision version)
    {
        this->slots[name].rejected = version;
    }

    bool remove(const std::string& name, revision version)
    {
        const auto found = this->slots.find(name);
        if (found == this->slots.end() || found->second.version > version)
        {
            return false;
        }
        this->slots.erase(found);
        return true;
    }

    /// Removes the objects that are absent from a snapshot taken at `version`,
    /// except those written later. Returns true if any was removed.
    bool
    retain(const absl::flat_hash_set<std::string>& present, revision version)
    {
        const auto is_absent = [&](const auto& item)
        {
            return !present.contains(item.first) &&
                   item.second.version <= version;
        };
        return std::erase_if(this->slots, is_absent) > 0;
    }

    const Value* find(const std::string& name) const
    {
        const auto found = this->slots.find(name);
        return found == this->slots.end() || !found->second.value
                   ? nullptr
                   : &*found->second.value;
    }

    const std::map<std::string, slot>& all() const noexcept
    {
        return this->slots;
    }

    /// Copies values from `other` for objects that have only malformed writes
    /// here, if `other` kept its value after the same malformed write, that is,
    /// if `other_applied` has reached its version. Returns true if any value
    /// was copied.
    bool repair_from(const object_table& other, revision other_applied)
    {
        bool repaired = false;
        for (auto& [name, found] : this->slots)
        {
            const auto* value = other.find(name);
            if (!found.value && found.rejected && value != nullptr &&
                *found.rejected <= other_applied)
            {
                found.value = *value;
                found.version = other.slots.at(name).version;
                repaired = true;
            }
        }
        return repaired;
    }

private:
    std::map<std::string, slot> slots;
};

} // namespace fireflysail

#pragma once

#include "common/identifiers.hpp"

#include <absl/container/flat_hash_set.h>

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace fireflysail
{

/// The store's objects of one kind as last applied. An object's version never
/// goes back, and a malformed write leaves the good value in force.
template <class Value>
class object_table
{
public:
    struct slot
    {
        /// Empty while the only writes seen were malformed.
        std::optional<Value> value;
        revision version;
        /// The malformed write that followed `version`, if any.
        std::optional<revision> rejected;
    };

    /// Applies a write; false when a newer version is held.
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

    /// Remembers that `version` did not decode.
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

    /// Removes what a snapshot at `version` lacks; true when any was.
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

    /// Takes good values from `other` for names whose only writes here were
    /// malformed, where `other` held on to its value past that write; true
    /// when any was taken.
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

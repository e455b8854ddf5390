#pragma once

#include "settings/object_reader.hpp"
#include "settings/settings.hpp"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fireflysail
{

/// Either the settings or every mistake found in them.
using settings_outcome = std::variant<settings, std::vector<settings_mistake>>;

/// Checks a document of JSON with comments and reads the files it names.
settings_outcome parse_settings(std::string_view document);

/// The same for the document in the file at `path`.
settings_outcome load_settings(const std::string& path);

} // namespace fireflysail

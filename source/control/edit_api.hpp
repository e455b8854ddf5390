#pragma once

#include "control/entry_editor.hpp"
#include "control/entry_reader.hpp"
#include "control/server_marks.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <random>
#include <string>
#include <string_view>

namespace fireflysail
{

/// Who sends an edit, as the admin API has authenticated them.
struct operator_identity
{
    std::string user;
    office_id office;
};

struct api_response
{
    /// Status code of HTTP.
    int status = 200;
    /// A JSON document.
    std::string body;
};

/// The lists and marks as documents, for the admin API and the command line.
///
/// The body of an edit: {"entry": {...}, "based_on": 7, "edit_id": "...",
/// "first_attempt": true}; `entry` is left out for a removal, `based_on` may
/// be left out for marks. Without `edit_id` one is chosen and the answer names
/// it; `seed` must therefore differ between processes. Thread-safe.
class edit_api
{
public:
    edit_api(
        entry_editor& editor,
        entry_reader& reader,
        server_marks& marks,
        std::uint64_t seed);

    api_response get(entry_kind kind, const std::string& name);
    api_response list(entry_kind kind);
    api_response history(entry_kind kind, const std::string& name);
    api_response audit();

    api_response
    set(entry_kind kind,
        const std::string& name,
        std::string_view body,
        const operator_identity& identity);

    api_response remove(
        entry_kind kind,
        const std::string& name,
        std::string_view body,
        const operator_identity& identity);

private:
    struct parsed_edit;

    parsed_edit parse(
        entry_kind kind,
        std::string_view body,
        bool is_removal,
        const operator_identity& identity);
    edit_id generate_id();

    entry_editor& editor;
    entry_reader& reader;
    server_marks& marks;
    absl::Mutex mutex;
    std::mt19937_64 random ABSL_GUARDED_BY(mutex);
};

} // namespace fireflysail

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

/// Identity of the operator who sends an edit, as authenticated by the admin
/// API.
struct operator_identity
{
    std::string user;
    office_id office;
};

struct api_response
{
    /// HTTP status code.
    int status = 200;
    /// A JSON document.
    std::string body;
};

/// JSON interface to the lists and marks, for the admin API and the command
/// line.
///
/// The body of an edit: {"entry": {...}, "based_on": 7, "edit_id": "...",
/// "first_attempt": true}; `entry` is omitted for a removal, `based_on` may be
/// omitted for marks. If `edit_id` is missing, an id is generated from `seed`
/// and returned in the response, so `seed` must differ between processes.
/// Thread-safe.
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

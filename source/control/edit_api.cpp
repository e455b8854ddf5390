#include "control/edit_api.hpp"

#include "common/error.hpp"
#include "control/marks_codec.hpp"

#include <fmt/format.h>

#include <limits>
#include <utility>

namespace fireflysail
{

namespace
{

using nlohmann::json;

constexpr std::uint64_t max_version = std::numeric_limits<std::uint64_t>::max();

struct http_status
{
    int operator()(const edit_accepted&) const
    {
        return 200;
    }

    int operator()(const edit_conflict&) const
    {
        return 409;
    }

    int operator()(const edit_rejected&) const
    {
        return 400;
    }

    int operator()(const edit_not_accepted&) const
    {
        return 503;
    }

    int operator()(const edit_unknown&) const
    {
        return 504;
    }
};

api_response render(const edit_outcome& outcome, const edit_id& id)
{
    auto body = json::parse(to_json_text(outcome));
    body["edit_id"] = id.str();
    return {std::visit(http_status{}, outcome), body.dump()};
}

api_response render(const result<std::string>& answer)
{
    if (answer)
    {
        return {200, answer.value()};
    }
    const json body{{"error", answer.error().message()}};
    return {answer.error() == errc::not_found ? 404 : 503, body.dump()};
}

} // namespace

struct edit_api::parsed_edit
{
    edit_request request;
    std::string entry;
    std::vector<mistake> mistakes;
};

edit_api::edit_api(
    entry_editor& editor,
    entry_reader& reader,
    server_marks& marks,
    std::uint64_t seed)
    : editor{editor}
    , reader{reader}
    , marks{marks}
    , random{seed}
{
}

api_response edit_api::get(entry_kind kind, const std::string& name)
{
    return render(this->reader.get(kind, name));
}

api_response edit_api::list(entry_kind kind)
{
    return render(this->reader.list(kind));
}

api_response edit_api::history(entry_kind kind, const std::string& name)
{
    return render(this->reader.history(kind, name));
}

api_response edit_api::audit()
{
    return render(this->reader.audit());
}

api_response edit_api::set(
    entry_kind kind,
    const std::string& name,
    std::string_view body,
    const operator_identity& identity)
{
    auto edit = this->parse(kind, body, false, identity);
    if (!edit.mistakes.empty())
    {
        return render(edit_rejected{std::move(edit.mistakes)}, edit.request.id);
    }
    if (kind != entry_kind::mark)
    {
        return render(
            this->editor.set(kind, name, edit.entry, edit.request),
            edit.request.id);
    }
    const auto mark = parse_mark(edit.entry, edit.mistakes);
    if (!edit.mistakes.empty())
    {
        return render(edit_rejected{std::move(edit.mistakes)}, edit.request.id);
    }
    return render(
        this->marks.set(server_id{name}, mark, edit.request), edit.request.id);
}

api_response edit_api::remove(
    entry_kind kind,
    const std::string& name,
    std::string_view body,
    const operator_identity& identity)
{
    auto edit = this->parse(kind, body, true, identity);
    if (kind == entry_kind::mark)
    {
        edit.mistakes.push_back(
            {"", "a mark cannot be removed; set it to serving instead"});
    }
    if (!edit.mistakes.empty())
    {
        return render(edit_rejected{std::move(edit.mistakes)}, edit.request.id);
    }
    return render(
        this->editor.remove(kind, name, edit.request), edit.request.id);
}

edit_api::parsed_edit edit_api::parse(
    entry_kind kind,
    std::string_view body,
    bool is_removal,
    const operator_identity& identity)
{
    parsed_edit edit;
    edit.request.user = identity.user;
    edit.request.office = identity.office;
    const auto document = parse_object(body, edit.mistakes);
    if (!document)
    {
        return edit;
    }
    field_reader fields{*document, "", edit.mistakes};
    if (kind != entry_kind::mark || fields.has("based_on"))
    {
        edit.request.based_on =
            revision{fields.unsigned_integer("based_on", max_version)};
    }
    if (fields.has("edit_id"))
    {
        edit.request.id = edit_id{fields.identifier("edit_id")};
        edit.request.first_attempt =
            fields.has("first_attempt") && fields.boolean("first_attempt");
    }
    else
    {
        edit.request.id = this->generate_id();
        edit.request.first_attempt = true;
    }
    const auto* entry = is_removal ? nullptr : fields.child("entry");
    if (entry != nullptr)
    {
        edit.entry = entry->dump();
    }
    fields.reject_unknown_fields();
    return edit;
}

edit_id edit_api::generate_id()
{
    const absl::MutexLock lock{&this->mutex};
    return edit_id{
        fmt::format("edit-{:016x}{:016x}", this->random(), this->random())};
}

} // namespace fireflysail

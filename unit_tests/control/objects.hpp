#pragma once

#include "control/fleet_codec.hpp"
#include "control/lists_codec.hpp"
#include "control/marks_codec.hpp"
#include "store/store.hpp"

#include <string>
#include <utility>
#include <vector>

namespace fireflysail::testing
{

inline stored_object object(
    const std::string& kind,
    const std::string& name,
    std::string value,
    std::uint64_t version)
{
    return {{kind, name}, std::move(value), revision{version}};
}

inline stored_object plan_object_of(
    const std::string& workspace,
    const std::string& plan,
    std::uint64_t version)
{
    return object(
        plan_kind,
        workspace,
        R"({"key_digests":[],"plan":")" + plan + R"("})",
        version);
}

inline const std::string entitlement_document =
    R"({"models":["m"],"services":[],"requests_per_second":5,)"
    R"("tokens_per_second":100,"concurrency":3,"weight":1,)"
    R"("highest_class":"standard"})";

inline stored_object
entitlement_object_of(const std::string& plan, std::uint64_t version)
{
    return object(entitlement_kind, plan, entitlement_document, version);
}

inline stored_object engine_object(const std::string& id, std::uint64_t version)
{
    engine server;
    server.id = server_id{id};
    server.address = {"127.0.0.1", 9000};
    server.zone = zone_id{"helwan-a"};
    server.region = region_id{"cairo-south"};
    server.kind = accelerator_kind{"big"};
    return object(
        server_kind, id, encode(server_registration{server}), version);
}

inline stored_object
mark_object_of(const std::string& id, server_mark mark, std::uint64_t version)
{
    return object(
        mark_kind,
        id,
        R"({"mark":")" + std::string{to_string(mark)} + R"("})",
        version);
}

inline store_snapshot
snapshot_of(std::uint64_t version, std::vector<stored_object> objects)
{
    return {revision{version}, std::move(objects)};
}

inline store_event written(stored_object changed)
{
    return {store_event::change::written, std::move(changed)};
}

inline store_event
removed(const std::string& kind, const std::string& name, std::uint64_t version)
{
    return {store_event::change::removed, object(kind, name, "", version)};
}

inline watch_batch batch_of(std::uint64_t next, std::vector<store_event> events)
{
    return {revision{next}, std::move(events)};
}

} // namespace fireflysail::testing

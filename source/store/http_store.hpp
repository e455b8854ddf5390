#pragma once

#include "store/store.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace fireflysail
{

struct http_store_options
{
    std::string host;
    int port = 0;
    /// Sent as bearer credentials unless empty.
    std::string token;
    std::size_t max_idle_connections = 8;
    /// A connection idle for longer is not used again: the store may be about
    /// to close it, which would leave the effect of a write unknown.
    duration max_idle{std::chrono::seconds{3}};
};

/// The store over HTTP, as docs/protocols/store.md says. Safe to use from many
/// threads; each call holds a connection of its own. No call is ever sent
/// twice: what to do about an unknown effect is the caller's to decide.
class http_store final : public store
{
public:
    http_store(http_store_options options, const clock& time);
    ~http_store() override;

    http_store(const http_store&) = delete;
    http_store& operator=(const http_store&) = delete;

    result<stored_object>
    get(const object_key& key, time_point deadline) override;

    result<store_snapshot>
    list(const std::vector<std::string>& kinds, time_point deadline) override;

    result<revision> create(
        const object_key& key,
        const std::string& value,
        time_point deadline) override;

    result<revision> update(
        const object_key& key,
        const std::string& value,
        revision expected,
        time_point deadline) override;

    result<revision> remove(
        const object_key& key, revision expected, time_point deadline) override;

    result<watch_batch> watch(
        const std::vector<std::string>& kinds,
        revision from,
        time_point deadline) override;

private:
    class implementation;

    std::unique_ptr<implementation> self;
};

} // namespace fireflysail

#pragma once

#include "blackboard/fleet.hpp"
#include "common/identifiers.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace fireflysail
{

/// Which instance this is and where it runs.
struct instance_settings
{
    instance_id id;
    zone_id zone;
    region_id region;
};

/// The port that callers use.
struct caller_api_settings
{
    endpoint listen;
    std::uint32_t max_connections = 4'096;
    std::uint32_t max_body_bytes = 4U * 1024U * 1024U;
    std::uint32_t max_prompt_bytes = 1024U * 1024U;
    std::uint32_t max_tokens = 16'384;
    std::chrono::milliseconds read_timeout{5'000};
    std::chrono::milliseconds write_timeout{5'000};
    std::chrono::milliseconds idle_timeout{120'000};
    std::chrono::milliseconds default_deadline{600'000};
};

/// The port for operators and metrics.
struct admin_api_settings
{
    endpoint listen;
    std::string credential_file;
    /// Read from its file, or from FIREFLYSAIL_ADMIN_CREDENTIAL; never logged.
    std::string credential;
    /// Office recorded with edits made through this instance.
    office_id office;
};

/// The port for other instances.
struct peers_settings
{
    endpoint listen;
    std::string key_file;
    /// Read from its file, or from FIREFLYSAIL_PEER_KEY; never logged.
    std::string key;
    std::vector<endpoint> seeds;
};

struct store_settings
{
    endpoint address;
    std::chrono::milliseconds call_timeout{800};
    std::chrono::milliseconds watch_wait{2'000};
    double calls_per_second = 20;
};

struct routing_settings
{
    std::uint32_t max_attempts = 8;
    /// Requests that may wait in one class of a model.
    std::uint32_t queue_limit = 512;
    std::chrono::milliseconds connect_timeout{250};
    /// Shortest silence that is taken for a lost connection.
    std::chrono::milliseconds min_silence{250};
    /// Longest silence that is waited for, however slow the engines are.
    std::chrono::milliseconds max_silence{30'000};
    std::chrono::milliseconds load_poll_interval{1'000};
};

struct shutdown_settings
{
    std::chrono::milliseconds notice{0};
    std::chrono::milliseconds drain_limit{600'000};
};

struct settings
{
    instance_settings instance;
    caller_api_settings caller_api;
    admin_api_settings admin_api;
    peers_settings peers;
    store_settings store;
    routing_settings routing;
    shutdown_settings shutdown;
};

} // namespace fireflysail

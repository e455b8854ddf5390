#include "settings/load_settings.hpp"

#include <fmt/format.h>

#include <arpa/inet.h>

#include <array>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <map>
#include <optional>
#include <utility>

namespace fireflysail
{

namespace
{

using std::chrono::milliseconds;

constexpr std::int64_t highest_port = 65'535;
constexpr std::int64_t most_bytes = std::int64_t{64} * 1024 * 1024;
constexpr std::size_t shortest_secret = 16;

bool is_ip_number(const std::string& host)
{
    std::array<unsigned char, sizeof(in6_addr)> address{};
    return ::inet_pton(AF_INET, host.c_str(), address.data()) == 1 ||
           ::inet_pton(AF_INET6, host.c_str(), address.data()) == 1;
}

endpoint read_endpoint(object_reader& reader)
{
    endpoint address;
    address.host = reader.required_text("host");
    if (!address.host.empty() && !is_ip_number(address.host))
    {
        reader.mistake("host", "must be an IP number");
    }
    address.port =
        static_cast<int>(reader.required_integer("port", 1, highest_port));
    return address;
}

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file)
    {
        return std::nullopt;
    }
    std::string content{std::istreambuf_iterator<char>{file}, {}};
    while (!content.empty() &&
           (content.back() == '\n' || content.back() == '\r'))
    {
        content.pop_back();
    }
    return content;
}

/// Secret from the file that `key` names or else from the environment.
std::string read_secret(
    object_reader& reader,
    const std::string& key,
    const std::string& path,
    const char* variable)
{
    std::string secret;
    if (path.empty())
    {
        const char* value = std::getenv(variable);
        if (value == nullptr)
        {
            reader.mistake(
                key, fmt::format("is missing, and {} is not set", variable));
            return {};
        }
        secret = value;
    }
    else
    {
        auto content = read_file(path);
        if (!content)
        {
            reader.mistake(key, "names a file that cannot be read");
            return {};
        }
        secret = std::move(*content);
    }
    if (secret.size() < shortest_secret)
    {
        reader.mistake(
            key,
            fmt::format(
                "holds a secret of fewer than {} characters", shortest_secret));
    }
    return secret;
}

instance_settings read_instance(object_reader reader)
{
    instance_settings read;
    read.id = instance_id{reader.required_text("id")};
    read.zone = zone_id{reader.required_text("zone")};
    read.region = region_id{reader.required_text("region")};
    reader.finish();
    return read;
}

std::uint32_t read_count(
    object_reader& reader,
    const std::string& key,
    std::uint32_t missing,
    std::int64_t highest)
{
    return static_cast<std::uint32_t>(reader.integer(key, missing, 1, highest));
}

caller_api_settings read_caller_api(object_reader reader)
{
    const caller_api_settings defaults;
    caller_api_settings read;
    read.listen = read_endpoint(reader);
    read.max_connections = read_count(
        reader, "max_connections", defaults.max_connections, 100'000);
    read.max_body_bytes = read_count(
        reader, "max_body_bytes", defaults.max_body_bytes, most_bytes);
    read.max_prompt_bytes = read_count(
        reader, "max_prompt_bytes", defaults.max_prompt_bytes, most_bytes);
    read.max_tokens =
        read_count(reader, "max_tokens", defaults.max_tokens, 1'000'000);
    read.read_timeout = reader.milliseconds(
        "read_timeout_ms",
        defaults.read_timeout,
        milliseconds{10},
        milliseconds{600'000});
    read.write_timeout = reader.milliseconds(
        "write_timeout_ms",
        defaults.write_timeout,
        milliseconds{10},
        milliseconds{600'000});
    read.idle_timeout = reader.milliseconds(
        "idle_timeout_ms",
        defaults.idle_timeout,
        milliseconds{100},
        milliseconds{3'600'000});
    read.default_deadline = reader.milliseconds(
        "default_deadline_ms",
        defaults.default_deadline,
        milliseconds{100},
        milliseconds{86'400'000});
    reader.finish();
    return read;
}

admin_api_settings read_admin_api(object_reader reader)
{
    admin_api_settings read;
    read.listen = read_endpoint(reader);
    read.office = office_id{reader.required_text("office")};
    read.credential_file = reader.text("credential_file", "");
    read.credential = read_secret(
        reader,
        "credential_file",
        read.credential_file,
        "FIREFLYSAIL_ADMIN_CREDENTIAL");
    reader.finish();
    return read;
}

peers_settings read_peers(object_reader reader)
{
    peers_settings read;
    read.listen = read_endpoint(reader);
    read.key_file = reader.text("key_file", "");
    read.key =
        read_secret(reader, "key_file", read.key_file, "FIREFLYSAIL_PEER_KEY");
    std::map<endpoint, std::string> seen;
    for (object_reader& seed : reader.children("seeds"))
    {
        const endpoint address = read_endpoint(seed);
        const auto [first, fresh] = seen.emplace(address, seed.path_of("port"));
        if (!fresh && !address.host.empty())
        {
            seed.mistake("port", "repeats the address at " + first->second);
        }
        seed.finish();
        read.seeds.push_back(address);
    }
    reader.finish();
    return read;
}

store_settings read_store(object_reader reader)
{
    const store_settings defaults;
    store_settings read;
    read.address = read_endpoint(reader);
    read.call_timeout = reader.milliseconds(
        "call_timeout_ms",
        defaults.call_timeout,
        milliseconds{10},
        milliseconds{60'000});
    read.watch_wait = reader.milliseconds(
        "watch_wait_ms",
        defaults.watch_wait,
        milliseconds{100},
        milliseconds{60'000});
    read.calls_per_second =
        reader.positive_number("calls_per_second", defaults.calls_per_second);
    reader.finish();
    return read;
}

routing_settings read_routing(object_reader reader)
{
    const routing_settings defaults;
    routing_settings read;
    read.max_attempts =
        read_count(reader, "max_attempts", defaults.max_attempts, 100);
    read.queue_limit =
        read_count(reader, "queue_limit", defaults.queue_limit, 1'000'000);
    read.connect_timeout = reader.milliseconds(
        "connect_timeout_ms",
        defaults.connect_timeout,
        milliseconds{1},
        milliseconds{60'000});
    read.min_silence = reader.milliseconds(
        "min_silence_ms",
        defaults.min_silence,
        milliseconds{1},
        milliseconds{60'000});
    read.max_silence = reader.milliseconds(
        "max_silence_ms",
        defaults.max_silence,
        milliseconds{10},
        milliseconds{600'000});
    read.load_poll_interval = reader.milliseconds(
        "load_poll_interval_ms",
        defaults.load_poll_interval,
        milliseconds{10},
        milliseconds{600'000});
    reader.finish();
    return read;
}

shutdown_settings read_shutdown(object_reader reader)
{
    const shutdown_settings defaults;
    shutdown_settings read;
    read.notice = reader.milliseconds(
        "notice_ms", defaults.notice, milliseconds{0}, milliseconds{600'000});
    read.drain_limit = reader.milliseconds(
        "drain_limit_ms",
        defaults.drain_limit,
        milliseconds{0},
        milliseconds{86'400'000});
    reader.finish();
    return read;
}

void check_distinct_ports(
    const settings& read, std::vector<settings_mistake>& mistakes)
{
    const std::array<std::pair<const char*, endpoint>, 3> listening{{
        {"/caller_api/port", read.caller_api.listen},
        {"/admin_api/port", read.admin_api.listen},
        {"/peers/port", read.peers.listen},
    }};
    std::map<endpoint, std::string> seen;
    for (const auto& [path, address] : listening)
    {
        const auto [first, fresh] = seen.emplace(address, path);
        if (!fresh && !address.host.empty())
        {
            mistakes.push_back(
                {path, "repeats the address at " + first->second});
        }
    }
}

} // namespace

settings_outcome parse_settings(std::string_view document)
{
    std::vector<settings_mistake> mistakes;
    const auto root = nlohmann::json::parse(document, nullptr, false, true);
    if (root.is_discarded())
    {
        mistakes.push_back({"", "is not JSON"});
        return mistakes;
    }
    object_reader reader{root, "", mistakes};
    settings read;
    read.instance = read_instance(reader.child("instance"));
    read.caller_api = read_caller_api(reader.child("caller_api"));
    read.admin_api = read_admin_api(reader.child("admin_api"));
    read.peers = read_peers(reader.child("peers"));
    read.store = read_store(reader.child("store"));
    read.routing = read_routing(reader.child("routing"));
    read.shutdown = read_shutdown(reader.child("shutdown"));
    reader.finish();
    check_distinct_ports(read, mistakes);
    if (!mistakes.empty())
    {
        return mistakes;
    }
    return read;
}

settings_outcome load_settings(const std::string& path)
{
    const auto document = read_file(path);
    if (!document)
    {
        return std::vector<settings_mistake>{
            {"", fmt::format("the file {} cannot be read", path)}};
    }
    return parse_settings(*document);
}

} // namespace fireflysail

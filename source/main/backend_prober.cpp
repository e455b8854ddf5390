#include "main/backend_prober.hpp"

#include "http/connect_probe.hpp"

#include <utility>

namespace fireflysail
{

namespace
{

// Several, so that backend servers that do not answer delay only a part of the
// others.
constexpr std::size_t prober_threads = 4;

constexpr std::chrono::milliseconds connect_timeout{250};

// A prober with nothing to ask yet looks again soon.
constexpr std::chrono::milliseconds empty_fleet_wait{50};

} // namespace

backend_prober::backend_prober(
    const snapshot_cell<fleet_snapshot>& fleet,
    fleet_controller& controller,
    engine_api& engines,
    std::chrono::milliseconds interval)
    : fleet{fleet}
    , controller{controller}
    , engines{engines}
    , interval{interval}
{
}

backend_prober::~backend_prober()
{
    this->stop();
}

void backend_prober::start()
{
    for (std::size_t part = 0; part < prober_threads; ++part)
    {
        this->threads.emplace_back(
            [this, part]
            {
                this->run(part);
            });
    }
}

void backend_prober::stop()
{
    {
        const std::lock_guard lock{this->mutex};
        this->stopped = true;
    }
    this->changed.notify_all();
    for (auto& thread : this->threads)
    {
        thread.join();
    }
    this->threads.clear();
}

bool backend_prober::wait()
{
    const auto now = this->fleet.load();
    const bool empty = now->engines.empty() && now->services.empty();
    std::unique_lock lock{this->mutex};
    return !this->changed.wait_for(
        lock,
        empty ? empty_fleet_wait : this->interval,
        [this]
        {
            return this->stopped;
        });
}

void backend_prober::run(std::size_t part)
{
    do
    {
        this->probe(part);
    } while (this->wait());
}

void backend_prober::probe(std::size_t part)
{
    const auto now = this->fleet.load();
    for (std::size_t i = part; i < now->engines.size(); i += prober_threads)
    {
        this->probe_engine(now->engines[i]);
    }
    for (std::size_t i = part; i < now->services.size(); i += prober_threads)
    {
        this->probe_service(now->services[i]);
    }
}

void backend_prober::probe_engine(const engine& server)
{
    auto status = this->engines.status(server.address);
    this->controller.on_outcome(server.id, status.has_value());
    if (status)
    {
        this->controller.on_report(
            server.id,
            {server.role,
             std::move(status.value().holdings),
             status.value().load});
    }
}

void backend_prober::probe_service(const service_server& server)
{
    this->controller.on_outcome(
        server.id,
        can_connect(server.address.host, server.address.port, connect_timeout));
}

} // namespace fireflysail

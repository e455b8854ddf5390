#include "main/instance.hpp"

#include "common/log.hpp"
#include "main/instance_parts.hpp"

namespace fireflysail
{

namespace
{

bool report_port(bool bound, const char* whose, const endpoint& address)
{
    if (!bound)
    {
        log::error(
            log::channel::main,
            "cannot listen for {} on {}:{}",
            whose,
            address.host,
            address.port);
    }
    return bound;
}

} // namespace

instance::instance(const settings& chosen, const clock& time)
    : self{std::make_unique<parts>(chosen, time)}
{
}

instance::~instance() = default;

bool instance::start()
{
    auto& all = *this->self;
    if (!report_port(all.start_peers(), "peers", all.chosen.peers.listen))
    {
        return false;
    }
    all.hub.start();
    all.prober.start();
    all.planning.start();
    all.queueing.start();
    all.sharing.start();
    all.settling.start();
    all.ordering.start();
    const bool bound =
        report_port(
            all.operators.start(), "operators", all.chosen.admin_api.listen) &&
        report_port(
            all.callers.start(), "callers", all.chosen.caller_api.listen);
    if (bound)
    {
        log::info(
            log::channel::main,
            "instance {} serves callers on {}:{}",
            all.self.id.str(),
            all.chosen.caller_api.listen.host,
            all.chosen.caller_api.listen.port);
    }
    return bound;
}

void instance::begin_drain()
{
    this->self->callers.refuse_new_work();
    this->self->gossip.leave();
}

std::size_t instance::running() const
{
    return this->self->callers.running();
}

void instance::stop()
{
    auto& all = *this->self;
    all.callers.stop();
    all.settle_ledger();
    all.settling.stop();
    all.ordering.stop();
    all.orders.release();
    all.queueing.stop();
    all.planning.stop();
    all.sharing.stop();
    all.prober.stop();
    all.operators.stop();
    all.hub.stop();
    all.calls.stop();
}

} // namespace fireflysail

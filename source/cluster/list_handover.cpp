#include "cluster/list_handover.hpp"

#include "common/log.hpp"
#include "control/marks_codec.hpp"

#include <algorithm>
#include <string>
#include <string_view>

namespace fireflysail
{

namespace
{

constexpr std::chrono::milliseconds call_timeout{1'000};
constexpr auto no_params = "{}";

} // namespace

list_handover::list_handover(
    rpc_client& client,
    const snapshot_cell<peers_snapshot>& peers,
    lists_controller& lists,
    fleet_controller& fleet)
    : client{client}
    , peers{peers}
    , lists{lists}
    , fleet{fleet}
{
}

void list_handover::add_handlers(peer_dispatcher& dispatcher)
{
    dispatcher.add(
        peer_method::lists,
        [this](std::string_view) -> result<std::string>
        {
            return this->lists.export_for_peer();
        });
    dispatcher.add(
        peer_method::marks,
        [this](std::string_view) -> result<std::string>
        {
            return encode(this->fleet.export_marks());
        });
}

bool list_handover::take_from_peers()
{
    const auto known = this->peers.load();
    bool newer = false;
    for (const auto& other : known->peers)
    {
        if (newer || other.state != peer_state::alive)
        {
            continue;
        }
        const auto marks = this->client.call(
            other.address,
            std::string{peer_method::marks},
            no_params,
            call_timeout);
        if (marks)
        {
            if (const auto decoded = decode_marks(marks.value()))
            {
                this->fleet.adopt_marks(decoded.value());
            }
        }
        const auto document = this->client.call(
            other.address,
            std::string{peer_method::lists},
            no_params,
            call_timeout);
        if (!document)
        {
            continue;
        }
        const auto adopted = this->lists.adopt_from_peer(document.value());
        newer = adopted && adopted.value() == adoption::adopted;
        if (newer)
        {
            log::info(
                log::channel::control,
                "the lists were taken from {} while the store is away",
                other.id.str());
        }
    }
    return newer;
}

} // namespace fireflysail

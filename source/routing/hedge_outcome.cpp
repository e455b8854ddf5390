#include "routing/hedge_outcome.hpp"

namespace fireflysail
{

hedge_verdict combine(copy_state first, copy_state second)
{
    const auto either = [first, second](copy_state wanted)
    {
        return first == wanted || second == wanted;
    };
    if (either(copy_state::answered))
    {
        return hedge_verdict::answered;
    }
    if (either(copy_state::running))
    {
        return hedge_verdict::wait;
    }
    if (either(copy_state::failed))
    {
        return hedge_verdict::failed;
    }
    // A refusal by one server says nothing of what ran at the other.
    if (either(copy_state::broken))
    {
        return hedge_verdict::unknown;
    }
    return either(copy_state::refused) ? hedge_verdict::refused
                                       : hedge_verdict::unsent;
}

} // namespace fireflysail

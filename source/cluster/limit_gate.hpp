#pragma once

#include "common/clock.hpp"
#include "limits/limit_client.hpp"
#include "routing/outcome.hpp"
#include "serving/admission_gate.hpp"

#include <memory>
#include <variant>

namespace fireflysail
{

/// Holds requests to the plan of their workspace.
class limit_gate
{
public:
    /// What a request holds of its plan, given back when destroyed.
    class hold
    {
    public:
        hold(
            limit_client& limits,
            const clock& time,
            workspace_id workspace,
            token_count charged);
        ~hold();

        hold(const hold&) = delete;
        hold& operator=(const hold&) = delete;

        /// The tokens that the request turned out to use.
        void used(token_count tokens);

    private:
        limit_client& limits;
        const clock& time;
        workspace_id workspace;
        token_count charged;
    };

    using entrance = std::variant<std::unique_ptr<hold>, did_not_run>;

    limit_gate(limit_client& limits, const clock& time);

    /// Waits a short while for a share of the plan, which an owner may have to
    /// grant first.
    entrance enter(
        const workspace_id& workspace,
        token_count cost,
        time_point deadline,
        const caller_presence& present);

private:
    limit_client& limits;
    const clock& time;
};

} // namespace fireflysail

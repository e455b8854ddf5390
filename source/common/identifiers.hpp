#pragma once

#include "common/strong_types.hpp"

namespace fireflysail
{

using workspace_id = strong_string<struct workspace_id_tag>;
using plan_id = strong_string<struct plan_id_tag>;
using office_id = strong_string<struct office_id_tag>;
using edit_id = strong_string<struct edit_id_tag>;

using server_id = strong_string<struct server_id_tag>;
using service_id = strong_string<struct service_id_tag>;
using instance_id = strong_string<struct instance_id_tag>;
using zone_id = strong_string<struct zone_id_tag>;
using region_id = strong_string<struct region_id_tag>;

using model_id = strong_string<struct model_id_tag>;
using model_version = strong_string<struct model_version_tag>;
using adapter_id = strong_string<struct adapter_id_tag>;
using accelerator_kind = strong_string<struct accelerator_kind_tag>;

using request_id = strong_string<struct request_id_tag>;
using attempt_id = strong_string<struct attempt_id_tag>;
using idempotency_key = strong_string<struct idempotency_key_tag>;
using duty_id = strong_string<struct duty_id_tag>;

/// Hash of the content of a request; equal for a resend of the same request.
using fingerprint = strong_number<struct fingerprint_tag>;

/// Hash of the identifier of one part of a prompt; equal in all requests that
/// share the part.
using prompt_part = strong_number<struct prompt_part_tag>;

/// Version of one object in the platform's store, or of a whole snapshot.
/// Zero means "no object".
using revision = strong_number<struct revision_tag>;

/// Grows with every change of leadership; the revision of the lease object.
using fencing_number = strong_number<struct fencing_number_tag>;

/// Chosen by an instance at start and raised to refute a false suspicion.
using incarnation = strong_number<struct incarnation_tag>;

} // namespace fireflysail

#pragma once

#include <vector>

#include "core/directory/directory_settings.hpp"
#include "core/directory/entrypoint_answer.hpp"
#include "core/identity/names.hpp"
#include "core/messages/member_update.hpp"

namespace fuchsiaquay {

/// Chooses the entry hosts for one customer: the first hosts of `live` in rendezvous order, so that
/// a customer stays on few hosts. Hosts of `home` are preferred, then those of other data centres,
/// then suspects.
/// @param home  data centre that the customer is served from
/// @param live  hosts of all reachable data centres that accept new callers; excludes leaving hosts
entrypoint_answer choose_entrypoints(const directory_settings& settings,
                                     const customer_id& customer, const data_centre_id& home,
                                     const std::vector<member_update>& live);

}  // namespace fuchsiaquay

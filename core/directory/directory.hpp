#pragma once

#include <vector>

#include "core/directory/directory_settings.hpp"
#include "core/directory/entrypoint_answer.hpp"
#include "core/identity/names.hpp"
#include "core/messages/member_update.hpp"

namespace fuchsiaquay {

/// Answer for one customer: the first of the rendezvous order of `live` for it, those of
/// `home` before others, so that a customer stays on few hosts and in its data centre. Hosts that
/// leave are not in `live`. With fewer than `hosts_per_customer` at home, others fill up.
/// @param home  data centre that the customer is served from
/// @param live  hosts that may get new callers, of every reachable data centre
entrypoint_answer choose_entrypoints(const directory_settings& settings,
                                     const customer_id& customer, const data_centre_id& home,
                                     const std::vector<member_update>& live);

}  // namespace fuchsiaquay

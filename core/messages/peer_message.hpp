#pragma once

#include <variant>

#include "core/messages/budget_grant.hpp"
#include "core/messages/budget_request.hpp"
#include "core/messages/contract_update.hpp"
#include "core/messages/gossip_message.hpp"
#include "core/messages/grant_release.hpp"
#include "core/messages/grant_renewal.hpp"
#include "core/messages/mark_answer.hpp"
#include "core/messages/mark_query.hpp"
#include "core/messages/reserve_reply.hpp"
#include "core/messages/reserve_request.hpp"
#include "core/messages/upstream_update.hpp"

namespace fuchsiaquay {

/// All messages that hosts send each other.
using peer_message = std::variant<gossip_message, reserve_request, reserve_reply, grant_release,
                                  grant_renewal, budget_request, budget_grant, mark_query,
                                  mark_answer, contract_update, upstream_update>;

}  // namespace fuchsiaquay

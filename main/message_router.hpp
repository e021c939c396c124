#pragma once

#include "core/identity/names.hpp"
#include "core/messages/peer_message.hpp"
#include "main/control_plane.hpp"
#include "main/request_plane.hpp"
#include "servers/reservation/reserve_filter.hpp"

namespace fuchsiaquay {

/// Visitor that dispatches each type of peer message to the service that handles it.
struct message_router {
    const host_id& sender;
    control_plane& control;
    request_plane& requests;

    void operator()(const gossip_message& message) { control.members().receive(sender, message); }
    void operator()(const reserve_request& message) { requests.owner().reserve(message); }
    void operator()(const reserve_reply& message) { requests.reservations().on_reply(message); }
    void operator()(const grant_release& message) { requests.owner().release(message); }
    void operator()(const grant_renewal& message) { requests.owner().renew(message); }
    void operator()(const mark_query& message) {
        control.journal().on_peer_message(sender, message);
    }
    void operator()(const mark_answer& message) {
        control.journal().on_peer_message(sender, message);
    }
    void operator()(const contract_update& message) { control.watcher().receive(sender, message); }
    void operator()(const upstream_update& message) {
        control.upstreams().receive(sender, message);
    }
    void operator()(const budget_request& message) { control.limits().receive(sender, message); }
    void operator()(const budget_grant& message) { control.limits().receive(sender, message); }
};

}  // namespace fuchsiaquay

#include "servers/reservation/reservation_sender.hpp"

#include <optional>

#include "core/upstreams/upstream.hpp"
#include "servers/peer_transport.hpp"
#include "servers/reservation/owner_locator.hpp"
#include "servers/reservation/owner_service.hpp"
#include "servers/views/host_view.hpp"
#include "servers/views/upstream_view.hpp"

namespace fuchsiaquay {

namespace {

std::optional<member_update> find_owner(const upstream_view& upstreams, const owner_locator& owners,
                                        const upstream_id& id) {
    const std::optional<upstream> target = upstreams.find(id);
    return target ? owners.owner_of(*target) : std::nullopt;
}

}  // namespace

reservation_sender::reservation_sender(const host_view& hosts, const upstream_view& upstreams,
                                       const owner_locator& owners, owner_service& local,
                                       peer_transport& transport)
    : hosts_(hosts), upstreams_(upstreams), owners_(owners), local_(local), transport_(transport) {}

void reservation_sender::send(const reserve_request& message) {
    const auto owner = find_owner(upstreams_, owners_, message.upstream);
    if (owner && owner->host == hosts_.host().host) {
        local_.reserve(message);
    } else if (owner) {
        transport_.send(*owner, message);
    }
}

void reservation_sender::send(const grant_release& message) {
    const auto owner = find_owner(upstreams_, owners_, message.upstream);
    if (owner && owner->host == hosts_.host().host) {
        local_.release(message);
    } else if (owner) {
        transport_.send(*owner, message);
    }
}

void reservation_sender::send(const grant_renewal& message) {
    const auto owner = find_owner(upstreams_, owners_, message.upstream);
    if (owner && owner->host == hosts_.host().host) {
        local_.renew(message);
    } else if (owner) {
        transport_.send(*owner, message);
    }
}

}  // namespace fuchsiaquay

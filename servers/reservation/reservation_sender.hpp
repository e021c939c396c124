#pragma once

#include "core/identity/names.hpp"

namespace fuchsiaquay {

class host_view;
class owner_locator;
class owner_service;
class peer_transport;
class upstream_view;
struct grant_release;
struct grant_renewal;
struct reserve_request;

/// Sends reservation messages to the owner of the upstream, which may be this host.
class reservation_sender {
public:
    /// References must outlive the sender.
    reservation_sender(const host_view& hosts, const upstream_view& upstreams,
                       const owner_locator& owners, owner_service& local,
                       peer_transport& transport);

    /// A message for an upstream without an owner is dropped. Any message may be lost.
    void send(const reserve_request& message);
    void send(const grant_release& message);
    void send(const grant_renewal& message);

private:
    const host_view& hosts_;
    const upstream_view& upstreams_;
    const owner_locator& owners_;
    owner_service& local_;
    peer_transport& transport_;
};

}  // namespace fuchsiaquay

#pragma once

#include <cstdint>
#include <set>

#include "servers/relay/relay_services.hpp"
#include "servers/relay/request_handler.hpp"
#include "servers/relay/upstream_chooser.hpp"

namespace fuchsiaquay {

class request_relay;

/// The requests of this host. Those that wait for an upstream are tried again, the most urgent and
/// oldest first, whenever something ends.
class relay_queue final : public request_handler {
public:
    explicit relay_queue(const relay_services& services);

    std::unique_ptr<active_request> serve(caller_request request, response_sink& sink) override;

    /// Plans another try for those that wait.
    void retry_waiting();
    void add(request_relay& relay) {
        relays_.insert(&relay);
        ++accepted_;
    }
    void remove(request_relay& relay) { relays_.erase(&relay); }
    std::size_t active() const noexcept { return relays_.size(); }
    /// Requests since the start.
    std::uint64_t accepted() const noexcept { return accepted_; }
    std::size_t waiting() const;
    /// True for a moment after the start of the host.
    bool starting() const;

private:
    void place_waiting();
    void check_all_timeouts();

    const relay_services& services_;
    upstream_chooser chooser_;
    std::set<request_relay*> relays_;
    std::uint64_t accepted_ = 0;
    instant started_at_{};
    bool retry_planned_ = false;
};

}  // namespace fuchsiaquay

#include "servers/fleet/host_registration.hpp"

#include <utility>

#include "servers/decision_log.hpp"
#include "servers/store/polled_store.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

namespace {

/// Lifetime of the lease, and the period of its renewal.
constexpr duration lease_lifetime = std::chrono::seconds(30);
constexpr duration renewal_period = std::chrono::seconds(9);
constexpr duration retry_delay = std::chrono::milliseconds(500);

}  // namespace

host_registration::host_registration(polled_store& store, timer_service& timers, decision_log& log,
                                     std::string key)
    : store_(store), timers_(timers), log_(log), key_(std::move(key)) {
    timers_.every(renewal_period, [this] { renew(); });
}

void host_registration::start(std::string value, written_handler on_written) {
    value_ = std::move(value);
    written_handler_ = std::move(on_written);
    enabled_ = true;
    if (!registering_) {
        register_entry();
    }
}

void host_registration::stop() {
    enabled_ = false;
    if (lease_ != 0) {
        store_.revoke_lease(std::exchange(lease_, 0));
    }
}

void host_registration::register_again() {
    if (lease_ != 0) {
        lease_ = 0;
        register_entry();
    }
}

void host_registration::register_entry() {
    registering_ = enabled_;
    if (!enabled_) {
        return;
    }
    store_.grant_lease(lease_lifetime, [this](std::int64_t lease) {
        if (lease == 0) {
            retry();
        } else {
            write(lease);
        }
    });
}

void host_registration::retry() {
    timers_.after(retry_delay, [this] { register_entry(); });
}

void host_registration::write(std::int64_t lease) {
    if (!enabled_) {
        registering_ = false;
        store_.revoke_lease(lease);
        return;
    }
    transaction change;
    change.writes.push_back({key_, value_, false, lease});
    store_.commit(change, [this, lease](const write_result& result) {
        if (result.outcome != write_outcome::applied) {
            log_.write(decision_log::level::warning, "host_registration_failed",
                       {{"lease", std::to_string(lease)}, {"reason", result.failure}});
            retry();
            return;
        }
        registering_ = false;
        if (!enabled_) {
            store_.revoke_lease(lease);
            return;
        }
        lease_ = lease;
        log_.write(decision_log::level::info, "host_registered",
                   {{"revision", std::to_string(result.revision)}});
        written_handler_(static_cast<std::uint64_t>(result.revision));
    });
}

void host_registration::renew() {
    if (lease_ == 0) {
        return;
    }
    store_.keep_alive(lease_, [this, lease = lease_](bool still_held) {
        if (!still_held && lease == lease_) {
            log_.write(decision_log::level::warning, "host_entry_lapsed",
                       {{"lease", std::to_string(lease)}});
            register_again();
        }
    });
}

}  // namespace fuchsiaquay

#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/freshness/copy_state.hpp"
#include "core/freshness/freshness.hpp"
#include "servers/store/prefix_mirror_settings.hpp"

namespace fuchsiaquay {

class decision_log;
class mirror_listener;
class polled_store;
class timer_service;
struct change_batch;
struct read_result;

/// Maintains a local copy of the keys with a prefix. It reads all keys once and then polls for
/// changes; it reads all keys again if the history is no longer available. It knows the maximum age
/// of the copy. While it does not follow the store, other hosts can keep the copy up to date.
class prefix_mirror {
public:
    /// The referenced objects must outlive the mirror.
    prefix_mirror(polled_store& store, timer_service& timers, decision_log& log,
                  mirror_listener& listener, std::string prefix, prefix_mirror_settings settings);

    /// Starts to follow the store, or stops after the pending call.
    /// @param retry_delay  delay after a record_failure call
    void follow(bool active, duration retry_delay);
    bool following() const noexcept { return active_; }
    /// Records that another host confirmed the copy to be current at `as_of`.
    void confirm(instant as_of);
    /// Records that another host has updated the copy to `revision`.
    void advance(std::int64_t revision);
    /// True while the last confirmation of the copy is within the freshness limit.
    bool fresh() const;
    /// Sets whether another host is known to have a later change.
    void set_behind(bool behind) { behind_ = behind; }
    copy_state state() const;
    /// True once the copy has been fresh at least once since the start.
    bool was_fresh() const noexcept { return was_fresh_; }
    /// Upper bound on the age of the copy.
    duration age() const;
    /// Store revision of the copy; 0 before the first read.
    std::int64_t revision() const noexcept { return revision_; }

private:
    void start_next_call();
    void read_all();
    void poll();
    void on_snapshot_read(const read_result& result, instant sent_at);
    void on_changes_polled(const change_batch& batch, instant sent_at);
    /// False if the store is known to have been available since the last full read, so that no
    /// lease has expired unnoticed.
    bool leases_may_have_expired() const;
    void record_failure(const std::string& reason);
    void continue_after(duration delay);

    polled_store& store_;
    timer_service& timers_;
    decision_log& log_;
    mirror_listener& listener_;
    std::string prefix_;
    prefix_mirror_settings settings_;
    freshness freshness_;
    bool was_fresh_ = false;
    bool behind_ = false;
    std::int64_t revision_ = 0;
    bool active_ = false;
    bool call_pending_ = false;
    /// True if the next call must read all keys.
    bool read_needed_ = true;
    duration retry_delay_{};
    /// True if calls have failed since the last full read, the first one at `first_failure_at_`.
    bool failed_since_read_ = false;
    instant first_failure_at_{};
    bool outage_logged_ = false;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace fuchsiaquay

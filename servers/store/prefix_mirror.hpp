#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/freshness/freshness.hpp"
#include "servers/store/prefix_mirror_settings.hpp"

namespace fuchsiaquay {

class decision_log;
class mirror_listener;
class polled_store;
class timer_service;
struct change_batch;
struct read_result;

/// Keeps a copy of the keys under a prefix current: reads all once, then polls for changes, and
/// reads all again when the history is gone. Knows how old the copy may be. While it is not
/// following the store, other hosts may keep the copy current.
class prefix_mirror {
public:
    /// References outlive the mirror.
    prefix_mirror(polled_store& store, timer_service& timers, decision_log& log,
                  mirror_listener& listener, std::string prefix, prefix_mirror_settings settings);

    /// Follows the store from now on, or stops doing so after the call under way.
    /// @param retry_delay  pause after a failed call
    void follow(bool active, duration retry_delay);
    bool following() const noexcept { return active_; }
    /// Another host vouches that the copy was current at `as_of`.
    void confirm(instant as_of);
    /// Another host has brought the copy to `revision`.
    void advance(std::int64_t revision);
    /// True while the copy is known to be current within the trusted time.
    bool fresh() const;
    /// True once the copy has been fresh: the host is past its start.
    bool was_fresh() const noexcept { return was_fresh_; }
    /// Upper bound on the age of the copy.
    duration age() const;
    /// Revision of the store that the copy reflects; 0 before the first read.
    std::int64_t revision() const noexcept { return revision_; }

private:
    void next();
    void read_all();
    void poll();
    void take_snapshot(const read_result& result, instant sent_at);
    void take_changes(const change_batch& batch, instant sent_at);
    /// True unless the store is known to have been there since the last full read.
    bool leases_may_have_lapsed() const;
    void failed(const std::string& reason);
    void later(duration delay);

    polled_store& store_;
    timer_service& timers_;
    decision_log& log_;
    mirror_listener& listener_;
    std::string prefix_;
    prefix_mirror_settings settings_;
    freshness freshness_;
    bool was_fresh_ = false;
    std::int64_t revision_ = 0;
    bool active_ = false;
    bool calling_ = false;
    /// The next call reads everything.
    bool read_needed_ = true;
    duration retry_delay_{};
    /// Calls have failed since the last full read, the first one at `lost_at_`.
    bool interrupted_ = false;
    instant lost_at_{};
    bool outage_ = false;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace fuchsiaquay

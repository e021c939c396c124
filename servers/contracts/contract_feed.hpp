#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "core/contract/contract_registry.hpp"
#include "servers/contracts/contract_watcher_settings.hpp"
#include "servers/store/key_value_store.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

class contract_applier;
class decision_log;

/// Copies contracts from the store into the registry. It reads all contracts, watches for changes
/// and checks the index key to verify that no change was missed. A stale answer of the store is not
/// accepted as verification.
class contract_feed {
public:
    /// Called with a change that came from the store. No change lies between `previous` and it; if
    /// `previous` equals its revision, nothing is known about earlier changes.
    using store_change_handler =
        std::function<void(const contract_change& change, std::int64_t previous)>;

    contract_feed(contract_registry& registry, contract_applier& applier, key_value_store& store,
                  timer_service& timers, decision_log& log,
                  const contract_watcher_settings& settings);
    ~contract_feed();
    contract_feed(const contract_feed&) = delete;
    contract_feed& operator=(const contract_feed&) = delete;

    void on_store_change(store_change_handler changed) { changed_ = std::move(changed); }
    /// Must be called once per check period. Keeps the watch running while `watch_enabled`.
    void tick(bool watch_enabled);
    /// Reads all contracts, unless a read is in progress or the backoff after a failure has not
    /// ended.
    void read();
    /// Whether a read has succeeded and was not older than the known revision.
    bool has_read() const noexcept { return has_read_; }
    /// Must be called after the registry was cleared. Earlier reads no longer count.
    void invalidate_reads();
    /// Whether the registry was verified to be the latest within `verification_max_age`.
    bool recently_verified() const;
    bool watching() const noexcept { return watch_ != 0; }
    void stop();

private:
    void on_read(const read_result& result, instant sent_at);
    void apply_values(const read_result& result);
    void start_watch();
    void on_watch_event(const watch_event& event);
    void check_index();
    void on_index(const read_result& result, instant sent_at);
    void confirm(instant verified_at);
    void back_off(const std::string& reason);
    void reset_retry_delay() { retry_delay_ = settings_.shortest_retry; }

    contract_registry& registry_;
    contract_applier& applier_;
    key_value_store& store_;
    timer_service& timers_;
    decision_log& log_;
    const contract_watcher_settings& settings_;
    store_change_handler changed_;
    /// Expires with this object, so that later answers are ignored.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    key_value_store::watch_id watch_ = 0;
    bool watch_enabled_ = false;
    bool read_pending_ = false;
    bool index_check_pending_ = false;
    bool has_read_ = false;
    bool verified_ = false;
    instant verified_at_{};
    instant next_read_{};
    duration retry_delay_;
    /// Consecutive checks of the index key that showed a change not reported by the watch.
    int missed_checks_ = 0;
};

}  // namespace fuchsiaquay

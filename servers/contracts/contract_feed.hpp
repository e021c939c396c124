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

/// Brings contracts from the store into the book: whole readings, a watch, and looks at the index
/// key that prove that nothing was missed. An answer older than what is known proves nothing.
class contract_feed {
public:
    /// Called with a change that came from the store and the change before it.
    using store_change_handler =
        std::function<void(const contract_change& change, std::int64_t previous)>;

    contract_feed(contract_registry& registry, contract_applier& applier, key_value_store& store,
                  timer_service& timers, decision_log& log,
                  const contract_watcher_settings& settings);
    ~contract_feed();
    contract_feed(const contract_feed&) = delete;
    contract_feed& operator=(const contract_feed&) = delete;

    void on_store_change(store_change_handler news) { news_ = std::move(news); }
    /// To be called every check period. Keeps the watch running while `wanted`.
    void tick(bool wanted);
    /// Reads every contract, unless a reading is under way or a failed one was just now.
    void read();
    /// Whether a reading has succeeded that was not older than what is known.
    bool has_read() const noexcept { return has_read_; }
    /// To be called when the book was cleared: the readings so far no longer count.
    void invalidate_reads();
    /// Whether the book was proved to be the latest a short time ago.
    bool recently_verified() const;
    bool watching() const noexcept { return watch_ != 0; }
    void stop();

private:
    void take_reading(const read_result& reading, instant asked_at);
    void take_values(const read_result& reading);
    void start_watch();
    void take_event(const watch_event& event);
    void look_at_index();
    void take_index(const read_result& reading, instant asked_at);
    void prove(instant at);
    void back_off(const std::string& reason);
    void reset_retry() { retry_ = settings_.shortest_retry; }

    contract_registry& registry_;
    contract_applier& applier_;
    key_value_store& store_;
    timer_service& timers_;
    decision_log& log_;
    const contract_watcher_settings& settings_;
    store_change_handler news_;
    /// Expires with this object, so that late answers are ignored.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    key_value_store::watch_id watch_ = 0;
    bool wanted_ = false;
    bool reading_ = false;
    bool looking_ = false;
    bool has_read_ = false;
    bool proved_ = false;
    instant proved_at_{};
    instant next_read_{};
    duration retry_;
    /// Looks in a row that showed a change which the watch has not reported.
    int missed_looks_ = 0;
};

}  // namespace fuchsiaquay

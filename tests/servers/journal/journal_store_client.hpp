#pragma once

#include <memory>
#include <random>
#include <utility>

#include "servers/store/key_value_store.hpp"
#include "servers/timer_service.hpp"
#include "tests/servers/journal/journal_store.hpp"

namespace fuchsiaquay {

/// One node's connection to a `journal_store` in virtual time. A call takes 2 to 5 ms, drawn from a
/// seed. It simulates outages, lost answers and delayed writes. Leases and watches do nothing.
class journal_store_client final : public key_value_store {
public:
    journal_store_client(journal_store& store, timer_service& timers, unsigned seed)
        : store_(store), timers_(timers), random_(seed) {}

    /// If true, calls fail after the timeout and have no effect.
    bool out_ = false;
    /// Number of subsequent writes that take effect but whose answer is lost.
    int lose_answers_ = 0;
    /// Number of subsequent writes that take effect after `landing_delay_` and whose answer is
    /// lost.
    int land_late_ = 0;
    duration landing_delay_ = std::chrono::seconds(5);
    /// Time until a lost answer is reported as `unknown`.
    duration call_timeout_ = std::chrono::milliseconds(500);

    /// Drops all pending answers, like the end of the process.
    void disconnect() { connected_ = std::make_shared<bool>(true); }

    void read(const std::string& key, read_handler done) override {
        if (out_) {
            answer(connected_, call_timeout_, [done] { done({"store unavailable", {}, 0}); });
            return;
        }
        const connection caller = connected_;
        timers_.after(half_trip(), [this, caller, key, done] {
            read_result result;
            result.store_revision = store_.revision();
            const stored_value value = store_.get(key);
            if (value.revision != 0) {
                result.values.push_back(value);
            }
            answer(caller, half_trip(), [done, result] { done(result); });
        });
    }

    void commit(const transaction& change, write_handler done) override {
        const auto lost = [done] { done({write_outcome::unknown, 0, "no answer"}); };
        if (out_) {
            answer(connected_, call_timeout_, lost);
        } else if (land_late_ > 0) {
            --land_late_;
            timers_.after(landing_delay_, [this, change] { store_.apply(change); });
            answer(connected_, call_timeout_, lost);
        } else if (lose_answers_ > 0) {
            --lose_answers_;
            timers_.after(half_trip(), [this, change] { store_.apply(change); });
            answer(connected_, call_timeout_, lost);
        } else {
            const connection caller = connected_;
            timers_.after(half_trip(), [this, caller, change, done] {
                const write_result result = store_.apply(change);
                answer(caller, half_trip(), [done, result] { done(result); });
            });
        }
    }

    void read_prefix(const std::string&, read_handler) override {}
    void grant_lease(duration, lease_handler) override {}
    void keep_alive(std::int64_t, keep_alive_handler) override {}
    void revoke_lease(std::int64_t) override {}
    watch_id watch(const std::string&, std::int64_t, watch_handler, watch_end_handler) override {
        return 0;
    }
    void cancel_watch(watch_id) override {}

private:
    using connection = std::weak_ptr<bool>;

    duration half_trip() {
        return duration(std::uniform_int_distribution<std::int64_t>(1'000, 2'500)(random_));
    }

    /// Delivers the answer if the process that made the call is still running.
    void answer(const connection& caller, duration delay, std::function<void()> deliver) {
        timers_.after(delay, [caller, deliver = std::move(deliver)] {
            if (!caller.expired()) {
                deliver();
            }
        });
    }

    journal_store& store_;
    timer_service& timers_;
    std::mt19937 random_;
    std::shared_ptr<bool> connected_ = std::make_shared<bool>(true);
};

}  // namespace fuchsiaquay

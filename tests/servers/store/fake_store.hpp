#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "servers/store/key_value_store.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay::testing {

/// Key-value store in virtual time with adjustable faults.
class fake_store final : public key_value_store {
public:
    explicit fake_store(timer_service& timers) : timers_(timers) { past_[revision_] = {}; }

    /// Time until an answer.
    duration latency = std::chrono::milliseconds(2);
    /// If true, every call fails after the timeout.
    bool unavailable = false;
    /// Number of subsequent writes that take effect but whose answer is lost.
    int lost_answers = 0;
    /// Number of subsequent writes that get no answer and take effect after `lateness`.
    int late_writes = 0;
    duration lateness = std::chrono::seconds(1);
    /// If not 0, reads return the contents at this revision.
    std::int64_t stale_at = 0;
    /// If true, watches stay open but report nothing.
    bool silent_watches = false;
    int reads = 0;
    int writes = 0;

    std::int64_t revision() const { return revision_; }
    const stored_value& at(const std::string& key) { return values_[key]; }

    /// Writes directly to the store, like the platform's own tools.
    std::int64_t put(const std::string& key, const std::string& value) {
        transaction change;
        change.writes.push_back({key, value, false, 0});
        return apply(change).revision;
    }

    /// Applies a transaction at once and returns its revision.
    std::int64_t write_now(const transaction& change) { return apply(change).revision; }

    /// Ends all watches, like a failover of the store.
    void end_watches() {
        auto ended = std::move(watches_);
        watches_.clear();
        for (auto& [id, watch] : ended) {
            watch.end("ended");
        }
    }

    void read(const std::string& key, read_handler done) override {
        answer_read([key](const std::string& found) { return found == key; }, done);
    }

    void read_prefix(const std::string& prefix, read_handler done) override {
        answer_read(
            [prefix](const std::string& found) {
                return found.compare(0, prefix.size(), prefix) == 0;
            },
            done);
    }

    void commit(const transaction& change, write_handler done) override {
        ++writes;
        const auto lost = [done] { done(write_result{write_outcome::unknown, 0, "no answer"}); };
        if (unavailable) {
            timers_.after(call_timeout, lost);
            return;
        }
        if (late_writes > 0) {
            --late_writes;
            timers_.after(lateness, [this, change] { apply(change); });
            timers_.after(call_timeout, lost);
            return;
        }
        if (lost_answers > 0) {
            --lost_answers;
            apply(change);
            timers_.after(call_timeout, lost);
            return;
        }
        timers_.after(latency, [this, change, done] { done(apply(change)); });
    }

    void grant_lease(duration, lease_handler done) override { done(unavailable ? 0 : 1); }
    void keep_alive(std::int64_t, keep_alive_handler done) override { done(!unavailable); }
    void revoke_lease(std::int64_t) override {}

    watch_id watch(const std::string& prefix, std::int64_t from_revision, watch_handler event,
                   watch_end_handler end) override {
        const watch_id id = ++last_watch_;
        watches_[id] = watcher{prefix, std::move(event), std::move(end)};
        for (const auto& [revision, changed] : log_) {
            if (revision >= from_revision) {
                report(id, changed);
            }
        }
        return id;
    }

    void cancel_watch(watch_id id) override { watches_.erase(id); }

    static constexpr duration call_timeout = std::chrono::seconds(1);

private:
    struct watcher {
        std::string prefix;
        watch_handler event;
        watch_end_handler end;
    };
    using values = std::map<std::string, stored_value>;

    void answer_read(const std::function<bool(const std::string&)>& wanted,
                     const read_handler& done) {
        ++reads;
        if (unavailable) {
            timers_.after(call_timeout, [done] { done(read_result{"no answer", {}, 0}); });
            return;
        }
        read_result result;
        const bool old = stale_at != 0;
        const auto source = old ? std::prev(past_.upper_bound(stale_at)) : std::prev(past_.end());
        result.store_revision = old ? stale_at : revision_;
        for (const auto& [key, value] : source->second) {
            if (wanted(key)) {
                result.values.push_back(value);
            }
        }
        timers_.after(latency, [done, result] { done(result); });
    }

    write_result apply(const transaction& change) {
        for (const auto& condition : change.conditions) {
            const auto found = values_.find(condition.key);
            const std::int64_t held = found == values_.end() ? 0 : found->second.revision;
            if (held != condition.revision) {
                return write_result{write_outcome::conflict, 0, ""};
            }
        }
        ++revision_;
        for (const auto& write : change.writes) {
            const stored_value value{write.key, write.erase ? "" : write.value, revision_};
            if (write.erase) {
                values_.erase(write.key);
            } else {
                values_[write.key] = value;
            }
            log_.emplace_back(revision_, watch_event{value, write.erase});
        }
        past_[revision_] = values_;
        const auto open = watches_;
        for (const auto& [revision, changed] : log_) {
            if (revision == revision_) {
                for (const auto& [id, watch] : open) {
                    report(id, changed);
                }
            }
        }
        return write_result{write_outcome::applied, revision_, ""};
    }

    void report(watch_id id, const watch_event& changed) {
        const auto found = watches_.find(id);
        const std::string& prefix = found->second.prefix;
        if (silent_watches || changed.value.key.compare(0, prefix.size(), prefix) != 0) {
            return;
        }
        timers_.after(latency, [this, id, changed] {
            const auto open = watches_.find(id);
            if (open != watches_.end()) {
                const watch_handler event = open->second.event;
                event(changed);
            }
        });
    }

    timer_service& timers_;
    std::int64_t revision_ = 1;
    values values_;
    std::map<std::int64_t, values> past_;
    std::vector<std::pair<std::int64_t, watch_event>> log_;
    std::map<watch_id, watcher> watches_;
    watch_id last_watch_ = 0;
};

}  // namespace fuchsiaquay::testing

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/freshness/store_revision.hpp"
#include "servers/store/polled_store.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay::testing {

/// Polled store in virtual time with adjustable faults.
class scripted_store final : public polled_store {
public:
    explicit scripted_store(timer_service& timers) : timers_(timers) {}

    void put(const std::string& key, const std::string& value) { change(key, value, false); }
    void erase(const std::string& key) { change(key, "", true); }
    /// Discards the history, so that a poll from an older revision must read all keys again.
    void compact() { compacted_ = content_.revision; }

    /// Makes the store name its era. Call this before anything else.
    void name_eras() { era_ = 1; }
    /// Keeps a copy to which `restore` returns.
    void copy() { copy_ = content_; }
    /// Continues from the copy in a new era: later changes are lost, and their numbers are given
    /// out again.
    void restore() {
        content_ = copy_;
        ++era_;
    }

    void read(const std::string& key, read_handler done) override {
        ++calls;
        reply([this, key, done = std::move(done)] {
            read_result result = base();
            const auto found = content_.values.find(key);
            if (result.ok() && found != content_.values.end()) {
                result.values.push_back(in_this_era(found->second));
            }
            done(result);
        });
    }

    void read_prefix(const std::string& prefix, read_handler done) override {
        ++calls;
        reply([this, prefix, done = std::move(done)] {
            read_result result = base();
            for (const auto& [key, value] : content_.values) {
                if (result.ok() && key.compare(0, prefix.size(), prefix) == 0) {
                    result.values.push_back(in_this_era(value));
                }
            }
            done(result);
        });
    }

    void poll(const std::string& prefix, std::int64_t after, duration wait,
              poll_handler done) override {
        ++calls;
        const bool nothing_new = !down && has_history(after) && changes(prefix, after).empty();
        timers_.after(nothing_new ? wait : answer_time,
                      [this, prefix, after, done = std::move(done)] {
                          change_batch batch;
                          batch.store_revision = in_this_era(content_.revision);
                          batch.failure = down ? "down" : "";
                          batch.compacted = !down && !has_history(after);
                          if (batch.ok() && !mute) {
                              batch.events = changes(prefix, after);
                          }
                          done(batch);
                      });
    }

    void commit(const transaction& change_set, write_handler done) override {
        ++calls;
        reply([this, change_set, done = std::move(done)] {
            write_result result;
            if (down) {
                result.failure = "down";
            } else {
                for (const transaction::write& entry : change_set.writes) {
                    change(entry.key, entry.value, entry.erase);
                }
                result.outcome = write_outcome::applied;
                result.revision = in_this_era(content_.revision);
            }
            done(result);
        });
    }

    void grant_lease(duration /*lifetime*/, lease_handler done) override {
        ++calls;
        reply([this, done = std::move(done)] { done(down ? 0 : 1); });
    }

    void keep_alive(std::int64_t /*lease*/, keep_alive_handler done) override {
        ++calls;
        reply([done = std::move(done)] { done(true); });
    }

    void revoke_lease(std::int64_t /*lease*/) override { ++calls; }

    /// If true, every call fails.
    bool down = false;
    /// If true, polls return no changes, as if a watch received none.
    bool mute = false;
    int calls = 0;

private:
    static constexpr duration answer_time = std::chrono::milliseconds(4);

    void reply(std::function<void()> answer) { timers_.after(answer_time, std::move(answer)); }

    read_result base() const {
        read_result result;
        result.failure = down ? "down" : "";
        result.store_revision = in_this_era(content_.revision);
        return result;
    }

    void change(const std::string& key, const std::string& value, bool erased) {
        ++content_.revision;
        watch_event event;
        event.value = {key, value, content_.revision};
        event.erased = erased;
        content_.history.push_back(event);
        if (erased) {
            content_.values.erase(key);
        } else {
            content_.values[key] = event.value;
        }
    }

    std::vector<watch_event> changes(const std::string& prefix, std::int64_t after) const {
        std::vector<watch_event> result;
        for (const watch_event& event : content_.history) {
            if (event.value.revision > revision_number(after) &&
                event.value.key.compare(0, prefix.size(), prefix) == 0) {
                result.push_back({in_this_era(event.value), event.erased});
            }
        }
        return result;
    }

    bool has_history(std::int64_t after) const {
        return era_of(after) == era_ && revision_number(after) >= compacted_;
    }
    std::int64_t in_this_era(std::int64_t number) const {
        return make_store_revision(era_, number);
    }
    stored_value in_this_era(stored_value value) const {
        value.revision = in_this_era(value.revision);
        return value;
    }

    /// What a restoration brings back; revisions are numbers without the era.
    struct content {
        std::int64_t revision = 1;
        std::map<std::string, stored_value> values;
        std::deque<watch_event> history;
    };

    timer_service& timers_;
    std::int64_t era_ = 0;
    std::int64_t compacted_ = 0;
    content content_;
    content copy_;
};

}  // namespace fuchsiaquay::testing

#include "servers/store/prefix_mirror.hpp"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>

#include "servers/store/mirror_listener.hpp"
#include "tests/servers/recording_log.hpp"
#include "tests/servers/store/scripted_store.hpp"
#include "tests/servers/virtual_timer_service.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr duration retry = milliseconds(200);

class recorded_copy final : public mirror_listener {
public:
    void on_snapshot(const std::vector<stored_value>& values, std::int64_t /*revision*/,
                     bool after_outage) override {
        content.clear();
        ++snapshots;
        outages += after_outage ? 1 : 0;
        for (const stored_value& value : values) {
            content[value.key] = value.value;
        }
    }
    void on_changes(const std::vector<watch_event>& events, std::int64_t /*revision*/) override {
        for (const watch_event& event : events) {
            if (event.erased) {
                content.erase(event.value.key);
            } else {
                content[event.value.key] = event.value.value;
            }
        }
    }
    std::map<std::string, std::string> content;
    int snapshots = 0;
    int outages = 0;
};

}  // namespace

TEST_GROUP(prefix_mirror) {
    virtual_timer_service timers_;
    scripted_store store_{timers_};
    recording_log log_;
    recorded_copy copy_;
    prefix_mirror_settings settings_;
    prefix_mirror mirror_{store_, timers_, log_, copy_, "k/", settings_};

    void setup() override {
        store_.name_eras();
        store_.put("k/a", "1");
        mirror_.follow(true, retry);
        timers_.advance(milliseconds(50));
    }
};

TEST(prefix_mirror, change_arrives_by_the_next_poll) {
    CHECK_EQUAL(std::string("1"), copy_.content["k/a"]);
    store_.put("k/a", "2");
    store_.put("other", "x");
    timers_.advance(settings_.poll_wait + milliseconds(10));
    CHECK_EQUAL(std::string("2"), copy_.content["k/a"]);
    LONGS_EQUAL(1, copy_.content.size());
}

TEST(prefix_mirror, discarded_history_is_recovered_by_reading_all_keys) {
    store_.erase("k/a");
    store_.put("k/b", "3");
    store_.compact();
    timers_.advance(seconds(1));
    LONGS_EQUAL(0, copy_.content.count("k/a"));
    CHECK_EQUAL(std::string("3"), copy_.content["k/b"]);
}

TEST(prefix_mirror, copy_is_not_fresh_after_a_store_outage_of_the_freshness_limit) {
    timers_.advance(seconds(3));
    CHECK_TRUE(mirror_.fresh());
    store_.down = true;
    timers_.advance(settings_.freshness_limit);
    CHECK_FALSE(mirror_.fresh());
    store_.down = false;
    timers_.advance(seconds(1));
    CHECK_TRUE(mirror_.fresh());
    LONGS_EQUAL(1, copy_.outages);
}

TEST(prefix_mirror, copy_is_late_between_the_apply_limit_and_the_freshness_limit) {
    settings_.apply_limit = seconds(2);
    prefix_mirror limited(store_, timers_, log_, copy_, "k/", settings_);
    limited.follow(true, retry);
    timers_.advance(milliseconds(50));
    CHECK_TRUE(limited.state() == copy_state::current);
    store_.down = true;
    timers_.advance(settings_.apply_limit + settings_.watch_lag + retry);
    CHECK_TRUE(limited.state() == copy_state::late);
    timers_.advance(settings_.freshness_limit);
    CHECK_TRUE(limited.state() == copy_state::expired);
}

TEST(prefix_mirror, copy_is_replaced_if_another_host_has_a_later_change_for_the_apply_limit) {
    settings_.apply_limit = seconds(2);
    prefix_mirror limited(store_, timers_, log_, copy_, "k/", settings_);
    limited.follow(true, retry);
    timers_.advance(milliseconds(50));
    limited.set_behind(true);
    CHECK_TRUE(limited.state() == copy_state::current);
    store_.down = true;
    timers_.advance(settings_.apply_limit + retry);
    CHECK_TRUE(limited.state() == copy_state::replaced);
    limited.set_behind(false);
    CHECK_TRUE(limited.state() == copy_state::current);
}

TEST(prefix_mirror, outage_not_seen_by_another_host_expires_no_entry) {
    timers_.advance(seconds(3));
    store_.down = true;
    timers_.advance(seconds(3));
    mirror_.confirm(timers_.now() - seconds(1));
    store_.down = false;
    timers_.advance(seconds(1));
    LONGS_EQUAL(2, copy_.snapshots);
    LONGS_EQUAL(0, copy_.outages);
}

TEST(prefix_mirror, outage_after_the_last_confirmation_may_expire_entries) {
    timers_.advance(seconds(3));
    store_.down = true;
    timers_.advance(seconds(2));
    mirror_.confirm(timers_.now() - seconds(1));
    timers_.advance(seconds(4));
    store_.down = false;
    timers_.advance(seconds(1));
    LONGS_EQUAL(1, copy_.outages);
}

TEST(prefix_mirror, history_discarded_without_failures_is_no_outage) {
    timers_.advance(seconds(3));
    store_.put("k/b", "3");
    store_.compact();
    timers_.advance(seconds(1));
    LONGS_EQUAL(2, copy_.snapshots);
    LONGS_EQUAL(0, copy_.outages);
}

TEST(prefix_mirror, one_failed_call_is_no_outage) {
    timers_.advance(seconds(3));
    store_.down = true;
    timers_.advance(settings_.poll_wait);
    store_.down = false;
    timers_.advance(seconds(1));
    LONGS_EQUAL(2, copy_.snapshots);
    LONGS_EQUAL(0, copy_.outages);
}

TEST(prefix_mirror, poll_without_changes_confirms_only_up_to_the_watch_lag) {
    timers_.advance(seconds(3));
    // The store withholds changes from its watchers for one second.
    store_.mute = true;
    timers_.advance(seconds(1));
    CHECK_TRUE(mirror_.age() >= settings_.watch_lag);
}

TEST(prefix_mirror, suspension_of_the_host_ends_freshness) {
    timers_.advance(seconds(3));
    CHECK_TRUE(mirror_.fresh());
    // While a host is suspended no poll is answered. This is simulated with a store outage.
    store_.down = true;
    timers_.advance(seconds(6));
    CHECK_FALSE(mirror_.fresh());
}

TEST(prefix_mirror, confirmation_by_another_host_keeps_an_idle_copy_fresh) {
    mirror_.follow(false, retry);
    timers_.advance(seconds(20));
    CHECK_FALSE(mirror_.fresh());
    mirror_.confirm(timers_.now() - seconds(1));
    CHECK_TRUE(mirror_.fresh());
    CHECK_TRUE(mirror_.age() == seconds(1));
    const int calls = store_.calls;
    timers_.advance(seconds(5));
    LONGS_EQUAL(calls, store_.calls);
}

TEST(prefix_mirror, restored_store_is_read_again_and_counts_as_an_outage) {
    store_.copy();
    store_.put("k/b", "2");
    timers_.advance(seconds(1));
    store_.restore();
    store_.put("k/a", "3");
    store_.put("k/c", "4");
    timers_.advance(seconds(1));
    CHECK_EQUAL(std::string("3"), copy_.content["k/a"]);
    LONGS_EQUAL(0, copy_.content.count("k/b"));
    LONGS_EQUAL(1, copy_.outages);
    LONGS_EQUAL(1, log_.count("store_restored"));
    store_.put("k/a", "5");
    timers_.advance(seconds(1));
    CHECK_EQUAL(std::string("5"), copy_.content["k/a"]);
    LONGS_EQUAL(2, copy_.snapshots);
}

#include "servers/fleet/upstream_registry.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

#include "core/error/step_error.hpp"
#include "servers/fleet/upstream_codec.hpp"
#include "tests/servers/quiet_log.hpp"
#include "tests/servers/virtual_timer_service.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Values are "ready" or "draining"; anything else is unreadable.
class word_codec final : public upstream_codec {
public:
    upstream_entry decode(const std::string& id, const std::string& text) const override {
        upstream_entry entry;
        entry.id = id;
        entry.service = "s";
        entry.address = {"10.0.0.1", 80};
        if (text == "draining") {
            entry.state = upstream_state::draining;
        } else if (text != "ready") {
            throw step_error("decode", id, "unreadable");
        }
        return entry;
    }
};

watch_event change(const std::string& id, const std::string& value, std::int64_t revision) {
    watch_event event;
    event.value = {"u/" + id, value, revision};
    event.erased = value.empty();
    return event;
}

}  // namespace

TEST_GROUP(upstream_registry) {
    virtual_timer_service timers_;
    quiet_log log_;
    word_codec codec_;
    upstream_registry registry_{codec_, timers_, log_, "u/"};

    void setup() override {
        registry_.on_snapshot({{"u/a", "ready", 2}, {"u/b", "ready", 3}}, 5, false);
    }
    std::size_t ready() const {
        return registry_.ready("s").size();
    }
};

TEST(upstream_registry, draining_upstream_takes_nothing_new_but_is_known) {
    registry_.on_changes({change("a", "draining", 6)}, 6);
    LONGS_EQUAL(1, ready());
    CHECK_TRUE(registry_.find("a") != nullptr);
}

TEST(upstream_registry, unreadable_entry_names_no_upstream_and_harms_no_other) {
    registry_.on_changes({change("a", "\x01garbage", 6), change("c", "ready", 7)}, 7);
    LONGS_EQUAL(2, ready());
    CHECK_TRUE(registry_.find("a") == nullptr);
    LONGS_EQUAL(1, log_.count("upstream_unreadable"));
}

TEST(upstream_registry, entry_that_lapsed_in_an_outage_has_two_seconds_to_return) {
    registry_.on_snapshot({{"u/a", "ready", 2}}, 9, true);
    LONGS_EQUAL(2, ready());
    timers_.advance(milliseconds(1'900));
    registry_.on_changes({change("b", "ready", 10)}, 10);
    timers_.advance(seconds(3));
    LONGS_EQUAL(2, ready());
}

TEST(upstream_registry, entry_still_missing_after_that_is_gone) {
    registry_.on_snapshot({{"u/a", "ready", 2}}, 9, true);
    timers_.advance(seconds(3));
    LONGS_EQUAL(1, ready());
}

TEST(upstream_registry, entry_newer_than_what_was_read_is_kept) {
    registry_.on_changes({change("c", "ready", 12)}, 12);
    registry_.on_snapshot({{"u/a", "ready", 2}, {"u/b", "ready", 2}}, 11, false);
    LONGS_EQUAL(3, ready());
}

TEST(upstream_registry, entry_removed_in_calm_is_gone_at_once) {
    registry_.on_changes({change("b", "", 6)}, 6);
    LONGS_EQUAL(1, ready());
}

TEST(upstream_registry, copy_follows_by_changes_and_by_the_whole) {
    upstream_registry copy(codec_, timers_, log_, "u/");
    copy.apply(registry_.changes_after(copy.revision()));
    LONGS_EQUAL(2, copy.ready("s").size());
    registry_.on_changes({change("a", "", 6), change("c", "ready", 7)}, 8);
    const catalogue_delta view = registry_.changes_after(copy.revision());
    LONGS_EQUAL(2, view.changes.size());
    CHECK_FALSE(view.complete);
    copy.apply(view);
    CHECK_TRUE(copy.find("a") == nullptr);
    CHECK_TRUE(copy.find("c") != nullptr);
    LONGS_EQUAL(8, copy.revision());
    // A late answer changes nothing back.
    catalogue_delta old;
    old.complete = true;
    old.revision = 5;
    copy.apply(old);
    LONGS_EQUAL(2, copy.ready("s").size());
}

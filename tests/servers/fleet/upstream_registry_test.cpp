#include "servers/fleet/upstream_registry.hpp"

#include <CppUTest/TestHarness.h>

#include <cctype>
#include <string>
#include <vector>

#include "core/error/operation_error.hpp"
#include "servers/fleet/upstream_codec.hpp"
#include "tests/servers/recording_log.hpp"
#include "tests/servers/virtual_timer_service.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Accepts the values "ready" and "draining", and numbers: the start times of processes that are
/// ready. Anything else is invalid.
class word_codec final : public upstream_codec {
public:
    upstream_entry decode(const std::string& id, const std::string& text) const override {
        upstream_entry entry;
        entry.id = id;
        entry.service = "s";
        entry.address = {"10.0.0.1", 80};
        if (text == "draining") {
            entry.state = upstream_state::draining;
        } else if (!text.empty() && std::isdigit(static_cast<unsigned char>(text.front())) != 0) {
            entry.started_at_ms = std::stoll(text);
        } else if (text != "ready") {
            throw operation_error("decode", id, "unreadable");
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
    recording_log log_;
    word_codec codec_;
    upstream_registry registry_{codec_, timers_, log_, "u/"};

    void setup() override {
        registry_.on_snapshot({{"u/a", "ready", 2}, {"u/b", "ready", 3}}, 5, false);
    }
    std::size_t ready() const {
        return registry_.ready("s").size();
    }
};

TEST(upstream_registry, draining_upstream_accepts_no_new_requests_but_is_listed) {
    registry_.on_changes({change("a", "draining", 6)}, 6);
    LONGS_EQUAL(1, ready());
    CHECK_TRUE(registry_.find("a") != nullptr);
}

TEST(upstream_registry, unreadable_entry_is_removed_and_affects_no_other) {
    registry_.on_changes({change("a", "\x01garbage", 6), change("c", "ready", 7)}, 7);
    LONGS_EQUAL(2, ready());
    CHECK_TRUE(registry_.find("a") == nullptr);
    LONGS_EQUAL(1, log_.count("upstream_unreadable"));
}

TEST(upstream_registry, entry_missing_after_an_outage_is_kept_for_two_seconds) {
    registry_.on_snapshot({{"u/a", "ready", 2}}, 9, true);
    LONGS_EQUAL(2, ready());
    timers_.advance(milliseconds(1'900));
    registry_.on_changes({change("b", "ready", 10)}, 10);
    timers_.advance(seconds(3));
    LONGS_EQUAL(2, ready());
}

TEST(upstream_registry, entry_missing_for_longer_is_removed) {
    registry_.on_snapshot({{"u/a", "ready", 2}}, 9, true);
    timers_.advance(seconds(3));
    LONGS_EQUAL(1, ready());
}

TEST(upstream_registry, entry_newer_than_the_snapshot_is_kept) {
    registry_.on_changes({change("c", "ready", 12)}, 12);
    registry_.on_snapshot({{"u/a", "ready", 2}, {"u/b", "ready", 2}}, 11, false);
    LONGS_EQUAL(3, ready());
}

TEST(upstream_registry, entry_removed_without_an_outage_is_removed_immediately) {
    registry_.on_changes({change("b", "", 6)}, 6);
    LONGS_EQUAL(1, ready());
}

TEST(upstream_registry, copy_is_updated_by_deltas_and_by_the_whole_catalogue) {
    upstream_registry copy(codec_, timers_, log_, "u/");
    copy.apply(registry_.changes_after(copy.revision()));
    LONGS_EQUAL(2, copy.ready("s").size());
    registry_.on_changes({change("a", "", 6), change("c", "ready", 7)}, 8);
    const catalogue_delta delta = registry_.changes_after(copy.revision());
    LONGS_EQUAL(2, delta.changes.size());
    CHECK_FALSE(delta.complete);
    copy.apply(delta);
    CHECK_TRUE(copy.find("a") == nullptr);
    CHECK_TRUE(copy.find("c") != nullptr);
    LONGS_EQUAL(8, copy.revision());
    // A late reply with an older revision is ignored.
    catalogue_delta outdated;
    outdated.complete = true;
    outdated.revision = 5;
    copy.apply(outdated);
    LONGS_EQUAL(2, copy.ready("s").size());
}

/// A registry that lists the process of `a` that started at 100.
TEST_GROUP_BASE(upstream_restart, TEST_GROUP_CppUTestGroupupstream_registry) {
    std::vector<upstream_lifetime> restarted_;

    void setup() override {
        registry_.on_snapshot({{"u/a", "100", 2}}, 5, false);
        registry_.on_restarted(
            [this](const upstream_lifetime& upstream) { restarted_.push_back(upstream); });
    }
};

// Guards against an engine that ends and returns under its id without anybody learning of it.
TEST(upstream_restart, entry_of_a_later_process_is_reported) {
    registry_.on_changes({change("a", "200", 6)}, 6);
    LONGS_EQUAL(1, restarted_.size());
    CHECK_TRUE(restarted_.front() == (upstream_lifetime{"a", 200}));
}

TEST(upstream_restart, entry_of_a_later_process_in_another_hosts_copy_is_reported) {
    upstream_registry source(codec_, timers_, log_, "u/");
    source.on_snapshot({{"u/a", "200", 6}}, 6, false);
    registry_.apply(source.changes_after(5));
    LONGS_EQUAL(1, restarted_.size());
}

TEST(upstream_restart, entry_that_is_written_again_or_late_is_not_reported) {
    registry_.on_changes({change("a", "100", 6), change("a", "50", 7)}, 7);
    LONGS_EQUAL(0, restarted_.size());
}

TEST(upstream_restart, removal_names_the_process_that_was_listed) {
    registry_.on_removed(
        [this](const upstream_lifetime& upstream) { restarted_.push_back(upstream); });
    registry_.on_changes({change("a", "", 6)}, 6);
    LONGS_EQUAL(1, restarted_.size());
    CHECK_TRUE(restarted_.front() == (upstream_lifetime{"a", 100}));
}

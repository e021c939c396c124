#include "servers/fleet/upstream_registry.hpp"

#include <CppUTest/TestHarness.h>

#include <cctype>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/error/operation_error.hpp"
#include "core/freshness/store_revision.hpp"
#include "servers/fleet/upstream_codec.hpp"
#include "tests/servers/recording_log.hpp"
#include "tests/servers/virtual_timer_service.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Accepts the values "ready" and "draining", and numbers: the start times of processes that are
/// ready, and for how many milliseconds they are cold if that follows after a space. Anything else
/// is invalid.
class word_codec final : public upstream_codec {
public:
    upstream_entry decode(const std::string& id, const std::string& text) const override {
        upstream_entry entry;
        entry.id = id;
        entry.service = "s";
        entry.address = {"10.0.0.1", 80};
        entry.data_centre = "dc1";
        if (text == "draining") {
            entry.state = upstream_state::draining;
        } else if (!text.empty() && std::isdigit(static_cast<unsigned char>(text.front())) != 0) {
            entry.started_at_ms = std::stoll(text);
            const std::size_t space = text.find(' ');
            if (space != std::string::npos) {
                entry.cold_time = milliseconds(std::stoll(text.substr(space)));
            }
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

// All entries of `word_codec` have the same address.
TEST(upstream_registry, address_is_reassigned_when_another_process_is_listed_there) {
    const network_address address = registry_.find("a")->address;
    const upstream_lifetime process = registry_.find("a")->lifetime();
    const instant sent_at = timers_.now() + milliseconds(1);
    timers_.advance(milliseconds(10));
    CHECK_FALSE(registry_.reassigned_since(sent_at, address, process));
    registry_.on_changes({change("a", "draining", 6), change("a", "", 7), change("a", "ready", 8)},
                         8);
    CHECK_FALSE(registry_.reassigned_since(sent_at, address, process));
    registry_.on_changes({change("c", "ready", 9)}, 9);
    CHECK_TRUE(registry_.reassigned_since(sent_at, address, process));
    CHECK_FALSE(registry_.reassigned_since(timers_.now() + milliseconds(1), address, process));
    CHECK_FALSE(registry_.reassigned_since(sent_at, address, registry_.find("c")->lifetime()));
    CHECK_FALSE(registry_.reassigned_since(sent_at, {"10.0.0.2", 80}, process));
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

/// A registry whose service limits the requests to cold processes. It lists the process of `a` that
/// started at 100.
TEST_GROUP_BASE(cold_processes, TEST_GROUP_CppUTestGroupupstream_registry) {
    struct report {
        upstream_lifetime process;
        instant until{};
    };
    std::vector<report> reports_;

    static std::optional<duration> three_seconds(const std::string& service) {
        return service == "s" ? std::optional<duration>(seconds(3)) : std::nullopt;
    }
    void follow(upstream_registry & registry) {
        registry.set_cold_times(three_seconds);
        registry.on_cold([this](const upstream_lifetime& process, instant until) {
            reports_.push_back({process, until});
        });
    }
    void setup() override {
        follow(registry_);
        registry_.on_snapshot({{"u/a", "100", 2}}, 5, false);
    }
    duration left() const {
        return reports_.empty() ? duration::zero() : reports_.back().until - timers_.now();
    }
};

TEST(cold_processes, entry_that_names_a_cold_time_is_reported_until_it_is_warm) {
    registry_.on_changes({change("a", "100 1500", 6)}, 6);
    CHECK_TRUE(left() == milliseconds(1'500));
    LONGS_EQUAL(1, log_.count("upstream_cold"));
    timers_.advance(milliseconds(1'400));
    LONGS_EQUAL(0, log_.count("upstream_warm"));
    timers_.advance(milliseconds(200));
    LONGS_EQUAL(1, log_.count("upstream_warm"));
}

// Guards against an engine that returned and whose entry says that it is warm, or is late.
TEST(cold_processes, new_process_is_cold_for_the_time_of_its_service) {
    registry_.on_changes({change("a", "200", 6), change("b", "300 10", 7)}, 7);
    LONGS_EQUAL(2, reports_.size());
    CHECK_TRUE(reports_[0].process == (upstream_lifetime{"a", 200}));
    CHECK_TRUE(reports_[1].process == (upstream_lifetime{"b", 300}));
    CHECK_TRUE(left() == seconds(3));
}

TEST(cold_processes, process_that_was_listed_when_the_host_started_is_warm) {
    registry_.on_changes({change("a", "100", 6)}, 6);
    LONGS_EQUAL(0, reports_.size());
}

// Load pattern: entries lapse in an outage of the store and return with it.
TEST(cold_processes, process_whose_entry_returns_after_an_outage_is_warm) {
    registry_.on_snapshot({}, 9, true);
    timers_.advance(seconds(3));
    CHECK_TRUE(registry_.find("a") == nullptr);
    registry_.on_changes({change("a", "100", 10)}, 10);
    LONGS_EQUAL(0, reports_.size());
}

// Load pattern: an engine becomes cold again in traffic; its process and entry stay the same.
TEST(cold_processes, new_cold_time_reaches_a_copy_although_nothing_else_changed) {
    upstream_registry copy(codec_, timers_, log_, "u/");
    copy.apply(registry_.changes_after(copy.revision()));
    registry_.on_changes({change("a", "100 2000", 6)}, 6);
    timers_.advance(milliseconds(500));
    const catalogue_delta delta = registry_.changes_after(copy.revision());
    LONGS_EQUAL(1, delta.changes.size());
    follow(copy);
    reports_.clear();
    copy.apply(delta);
    LONGS_EQUAL(1, reports_.size());
    CHECK_TRUE(left() == milliseconds(1'500));
}

// Guards against traffic between hosts: entries are written with each heartbeat.
TEST(cold_processes, heartbeats_of_a_cold_process_are_no_changes) {
    registry_.on_changes({change("a", "100 3000", 6)}, 6);
    for (std::int64_t beat = 1; beat <= 2; ++beat) {
        timers_.advance(seconds(1));
        const std::string text = "100 " + std::to_string(3'200 - 1'000 * beat);
        registry_.on_changes({change("a", text, 6 + beat)}, 6 + beat);
    }
    LONGS_EQUAL(0, registry_.changes_after(6).changes.size());
    CHECK_TRUE(left() == milliseconds(1'200));
}

TEST(cold_processes, longer_cold_time_is_a_change) {
    registry_.on_changes({change("a", "100 1000", 6)}, 6);
    registry_.on_changes({change("a", "100 3000", 7)}, 7);
    LONGS_EQUAL(1, registry_.changes_after(6).changes.size());
    CHECK_TRUE(left() == seconds(3));
}

TEST(cold_processes, cold_time_is_reported_when_the_configuration_arrives) {
    upstream_registry late(codec_, timers_, log_, "u/");
    late.on_snapshot({{"u/a", "100 2000", 6}}, 6, false);
    follow(late);
    LONGS_EQUAL(0, reports_.size());
    late.report_cold();
    LONGS_EQUAL(1, reports_.size());
    CHECK_TRUE(left() == seconds(2));
}

// Load pattern: an evacuation ends, and the entries have not told yet that the engines are cold.
TEST(cold_processes, engines_of_a_data_centre_that_returns_count_as_cold) {
    registry_.on_data_centre_returned("elsewhere");
    LONGS_EQUAL(0, reports_.size());
    registry_.on_data_centre_returned("dc1");
    LONGS_EQUAL(1, reports_.size());
    CHECK_TRUE(left() == seconds(3));
}

// Guards the deployments whose services name no limit.
TEST(cold_processes, cold_time_of_a_service_without_a_limit_changes_nothing) {
    upstream_registry plain(codec_, timers_, log_, "u/");
    plain.on_snapshot({{"u/a", "100", 6}}, 6, false);
    plain.on_changes({change("a", "100 2000", 7), change("b", "200 2000", 8)}, 8);
    LONGS_EQUAL(1, plain.changes_after(6).changes.size());
    LONGS_EQUAL(0, log_.count("upstream_cold"));
}

TEST_GROUP_BASE(upstreams_of_a_restored_store, TEST_GROUP_CppUTestGroupupstream_registry){};

// Guards against new requests to a draining upstream whose report the store has lost.
TEST(upstreams_of_a_restored_store, draining_process_stays_draining) {
    registry_.on_changes({change("a", "draining", 6)}, 6);
    registry_.on_snapshot(
        {{"u/a", "ready", make_store_revision(1, 2)}, {"u/b", "ready", make_store_revision(1, 3)}},
        make_store_revision(1, 5), true);
    LONGS_EQUAL(1, ready());
    registry_.on_changes({change("a", "700", make_store_revision(1, 6))},
                         make_store_revision(1, 6));
    LONGS_EQUAL(2, ready());
}

TEST(upstreams_of_a_restored_store, copy_of_an_earlier_era_receives_the_whole_catalogue) {
    upstream_registry other(codec_, timers_, log_, "u/");
    other.on_snapshot({{"u/a", "ready", make_store_revision(1, 2)},
                       {"u/lost", "ready", make_store_revision(1, 9)}},
                      make_store_revision(1, 9), false);
    registry_.on_snapshot(
        {{"u/a", "ready", make_store_revision(2, 2)}, {"u/c", "ready", make_store_revision(2, 4)}},
        make_store_revision(2, 4), false);
    const catalogue_delta delta = registry_.changes_after(other.revision());
    CHECK_TRUE(delta.complete);
    other.apply(delta);
    LONGS_EQUAL(2, other.ready("s").size());
    CHECK_TRUE(other.find("lost") == nullptr);
}

// Guards against the whole catalogue in each answer to a host of an earlier version.
TEST(upstreams_of_a_restored_store, revision_without_an_era_is_one_of_the_present_era) {
    const std::int64_t revision = make_store_revision(3, 5);
    registry_.on_snapshot({{"u/a", "ready", revision}}, revision, false);
    registry_.on_changes({change("b", "draining", revision + 1)}, revision + 1);
    const catalogue_delta delta = registry_.changes_after(5);
    CHECK_FALSE(delta.complete);
    LONGS_EQUAL(1, delta.changes.size());
}

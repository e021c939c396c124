#include "servers/contracts/contract_watcher.hpp"

#include <CppUTest/TestHarness.h>

#include "tests/servers/contracts/contract_fleet.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(contract_watcher) {
    /// Maximum time until a change is in force on every node, at the present and the target size.
    static constexpr duration present_bound = seconds(5);
    static constexpr duration target_bound = seconds(12);

    std::unique_ptr<contract_fleet> fleet_ = std::make_unique<contract_fleet>(9);

    void settle() {
        fleet_->timers.advance(seconds(5));
        CHECK_EQUAL(fleet_->size(), fleet_->count_in_state(contract_sync_state::current));
    }
    void check_everywhere(const std::string& customer, std::int64_t revision) {
        CHECK_EQUAL(fleet_->size(), fleet_->holding(customer, revision));
    }
};

TEST(contract_watcher, change_is_in_force_on_every_node_within_the_bound) {
    settle();
    const std::int64_t revision = fleet_->put("a", 1);
    fleet_->timers.advance(present_bound);
    check_everywhere("a", revision);
    CHECK_EQUAL(2, fleet_->watching());
}

TEST(contract_watcher, change_is_in_force_at_the_target_size_with_lost_messages) {
    // 340 nodes in 7 data centres.
    fleet_ = std::make_unique<contract_fleet>(49);
    settle();
    fleet_->loss = 0.2;
    fleet_->longest_delay = milliseconds(800);
    for (int i = 1; i <= 40; ++i) {
        const std::int64_t revision = fleet_->put("a", i);
        fleet_->timers.advance(target_bound);
        check_everywhere("a", revision);
    }
}

TEST(contract_watcher, reordered_messages_and_stale_answers_never_revert_a_change) {
    settle();
    fleet_->longest_delay = seconds(3);
    fleet_->loss = 0.3;
    std::map<std::string, std::int64_t> seen;
    for (int i = 1; i <= 60; ++i) {
        if (i % 7 == 0) {
            fleet_->erase("a");
        } else {
            fleet_->put("a", i);
        }
        fleet_->store.stale_at = i % 5 == 0 ? fleet_->store.revision() / 2 : 0;
        if (i % 10 == 0) {
            fleet_->store.end_watches();
        }
        for (int step = 0; step < 10; ++step) {
            fleet_->timers.advance(milliseconds(97));
            for (const std::string& name : fleet_->names()) {
                const std::int64_t held = fleet_->node(name).holds("a");
                CHECK_TRUE(held == 0 || held >= seen[name]);
                seen[name] = std::max(seen[name], held);
            }
        }
    }
    fleet_->store.stale_at = 0;
    const std::int64_t last = fleet_->put("a", 99);
    fleet_->timers.advance(target_bound);
    check_everywhere("a", last);
}

TEST(contract_watcher, restarted_node_does_not_serve_before_it_has_caught_up) {
    settle();
    const std::int64_t revision = fleet_->put("a", 1);
    fleet_->timers.advance(present_bound);
    fleet_->store.unavailable = true;
    fleet_->loss = 1.0;
    fleet_->start("n0");
    fleet_->timers.advance(seconds(30));
    CHECK_FALSE(fleet_->node("n0").registry().caught_up());
    fleet_->loss = 0.0;
    fleet_->timers.advance(present_bound);
    CHECK_TRUE(fleet_->node("n0").registry().caught_up());
    CHECK_EQUAL(revision, fleet_->node("n0").holds("a"));
}

TEST(contract_watcher, restarted_node_rejects_a_stale_answer_of_the_store) {
    settle();
    const std::int64_t old = fleet_->put("a", 1);
    fleet_->put("b", 1);
    fleet_->timers.advance(present_bound);
    const std::int64_t now = fleet_->put("a", 2);
    fleet_->erase("b");
    fleet_->timers.advance(present_bound);
    fleet_->store.stale_at = old + 1;
    for (const char* name : {"n0", "n1", "n2", "n3"}) {
        fleet_->loss = 1.0;
        fleet_->start(name);
        for (int step = 0; step < 100; ++step) {
            fleet_->timers.advance(milliseconds(100));
            fleet_->loss = step < 5 ? 1.0 : 0.0;
            if (fleet_->node(name).registry().caught_up()) {
                CHECK_EQUAL(now, fleet_->node(name).holds("a"));
                CHECK_EQUAL(0, fleet_->node(name).holds("b"));
            }
        }
        CHECK_TRUE(fleet_->node(name).registry().caught_up());
    }
}

TEST(contract_watcher, deletion_reaches_a_node_after_a_partition) {
    settle();
    fleet_->put("a", 1);
    fleet_->timers.advance(present_bound);
    fleet_->partitioned = {"n3"};
    fleet_->erase("a");
    fleet_->timers.advance(present_bound);
    CHECK_TRUE(fleet_->node("n3").holds("a") != 0 || fleet_->node("n3").watcher().watching());
    fleet_->partitioned.clear();
    fleet_->timers.advance(present_bound);
    check_everywhere("a", 0);
}

TEST(contract_watcher, node_without_the_store_is_unproved_and_keeps_its_contracts) {
    settle();
    const std::int64_t revision = fleet_->put("a", 1);
    fleet_->timers.advance(present_bound);
    fleet_->store.unavailable = true;
    fleet_->timers.advance(seconds(60));
    CHECK_EQUAL(fleet_->size(), fleet_->count_in_state(contract_sync_state::unproved));
    check_everywhere("a", revision);
    fleet_->store.unavailable = false;
    fleet_->timers.advance(seconds(10));
    CHECK_EQUAL(fleet_->size(), fleet_->count_in_state(contract_sync_state::current));
}

TEST(contract_watcher, stale_answers_of_the_store_are_no_verification) {
    settle();
    const std::int64_t revision = fleet_->put("a", 1);
    fleet_->timers.advance(present_bound);
    fleet_->store.stale_at = 1;
    fleet_->timers.advance(seconds(30));
    CHECK_EQUAL(fleet_->size(), fleet_->count_in_state(contract_sync_state::unproved));
    check_everywhere("a", revision);
}

TEST(contract_watcher, change_during_an_outage_of_the_store_arrives_afterwards) {
    settle();
    fleet_->store.unavailable = true;
    fleet_->store.end_watches();
    const std::int64_t revision = fleet_->put("a", 1);
    fleet_->timers.advance(seconds(20));
    fleet_->store.unavailable = false;
    fleet_->timers.advance(seconds(10));
    check_everywhere("a", revision);
}

TEST(contract_watcher, silent_watch_is_detected_by_the_index_check) {
    settle();
    fleet_->store.silent_watches = true;
    const std::int64_t revision = fleet_->put("a", 1);
    fleet_->timers.advance(present_bound);
    check_everywhere("a", revision);
}

TEST(contract_watcher, watchers_that_die_are_replaced) {
    settle();
    for (const std::string& name : fleet_->names()) {
        if (fleet_->node(name).watcher().watching()) {
            fleet_->kill(name);
        }
    }
    const std::int64_t revision = fleet_->put("a", 1);
    fleet_->timers.advance(present_bound);
    CHECK_EQUAL(2, fleet_->watching());
    check_everywhere("a", revision);
}

TEST(contract_watcher, invalid_document_leaves_the_contract_unchanged) {
    settle();
    const std::int64_t revision = fleet_->put("a", 1);
    fleet_->timers.advance(present_bound);
    fleet_->store.put("fuchsiaquay/contracts/a", "{");
    fleet_->timers.advance(present_bound);
    check_everywhere("a", revision);
    CHECK_TRUE(fleet_->log.count("contract_unreadable") > 0);
}

TEST(contract_watcher, store_calls_do_not_grow_with_the_data_centre) {
    fleet_ = std::make_unique<contract_fleet>(49);
    settle();
    const int before = fleet_->store.reads;
    fleet_->timers.advance(seconds(60));
    // Two watchers check the index key once a second.
    CHECK_EQUAL(120, fleet_->store.reads - before);
}

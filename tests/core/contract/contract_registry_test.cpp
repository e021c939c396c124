#include "core/contract/contract_registry.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>

using namespace fuchsiaquay;
using std::chrono::seconds;

TEST_GROUP(contract_registry) {
    contract_registry registry_{seconds(10)};

    static contract_change put(const std::string& customer, std::int64_t revision) {
        return {customer_id(customer), revision, false, "r" + std::to_string(revision)};
    }
    static contract_change erase(const std::string& customer, std::int64_t revision) {
        return {customer_id(customer), revision, true, ""};
    }
    bool apply(const contract_change& change) {
        return apply(registry_, change);
    }
    static bool apply(contract_registry & registry, const contract_change& change) {
        contract parsed;
        parsed.customer = change.customer;
        parsed.revision = change.revision;
        parsed.key_digests = {"key of " + change.customer.value()};
        return registry.apply(change, parsed);
    }
    bool holds(const std::string& customer) {
        return registry_.table()->find(customer_id(customer)) != nullptr;
    }
};

TEST(contract_registry, changes_in_any_order_end_in_the_same_contracts) {
    std::vector<contract_change> changes{put("a", 2), put("b", 3),   erase("a", 4), put("a", 6),
                                         put("c", 7), erase("c", 8), put("b", 9)};
    std::mt19937 random(11);
    for (int round = 0; round < 200; ++round) {
        contract_registry registry{seconds(10)};
        std::shuffle(changes.begin(), changes.end(), random);
        for (const contract_change& change : changes) {
            apply(registry, change);
        }
        LONGS_EQUAL(6, registry.table()->find(customer_id("a"))->revision);
        LONGS_EQUAL(9, registry.table()->find(customer_id("b"))->revision);
        CHECK_TRUE(registry.table()->find(customer_id("c")) == nullptr);
    }
}

TEST(contract_registry, old_change_to_a_deleted_customer_is_ignored) {
    registry_.reconcile({}, 9, 10);
    CHECK_FALSE(apply(put("a", 9)));
    CHECK_TRUE(apply(put("a", 11)));
}

TEST(contract_registry, read_without_a_customer_deletes_only_older_revisions) {
    apply(put("a", 5));
    apply(put("b", 20));
    LONGS_EQUAL(1, registry_.reconcile({}, 8, 10).size());
    CHECK_FALSE(holds("a"));
    CHECK_TRUE(holds("b"));
}

TEST(contract_registry, complete_revision_waits_for_a_missing_change) {
    registry_.reconcile({}, 0, 10);
    apply(put("b", 12));
    registry_.advance(11, 12);
    LONGS_EQUAL(10, registry_.complete_revision());
    apply(put("a", 11));
    registry_.advance(10, 11);
    LONGS_EQUAL(11, registry_.complete_revision());
}

TEST(contract_registry, sync_state_follows_confirmations_and_known_revisions) {
    const instant start{};
    CHECK_TRUE(registry_.freshness(start).sync_state == contract_sync_state::catching_up);
    registry_.set_caught_up();
    CHECK_TRUE(registry_.freshness(start).sync_state == contract_sync_state::unproved);
    registry_.confirm(start);
    CHECK_TRUE(registry_.freshness(start + seconds(10)).sync_state == contract_sync_state::current);
    CHECK_TRUE(registry_.freshness(start + seconds(11)).sync_state ==
               contract_sync_state::unproved);
    registry_.note_revision(5);
    CHECK_TRUE(registry_.freshness(start).sync_state == contract_sync_state::behind);
}

TEST(contract_registry, changes_are_not_complete_after_tombstones_were_discarded) {
    contract_registry registry{seconds(10), 1};
    apply(registry, put("a", 2));
    apply(registry, erase("a", 3));
    registry.advance(0, 3);
    CHECK_TRUE(registry.can_list_after(1));
    apply(registry, put("b", 4));
    apply(registry, erase("b", 5));
    registry.advance(3, 5);
    apply(registry, put("c", 6));
    CHECK_FALSE(registry.can_list_after(1));
    CHECK_TRUE(registry.can_list_after(3));
}

TEST(contract_registry, key_finds_its_contract_until_deleted) {
    apply(put("a", 2));
    CHECK_TRUE(registry_.table()->find_by_key("key of a") != nullptr);
    apply(erase("a", 3));
    CHECK_TRUE(registry_.table()->find_by_key("key of a") == nullptr);
}

TEST(contract_registry, stale_contract_is_deleted_if_nothing_replaced_it) {
    registry_.reconcile({}, 0, 10);
    apply(put("a", 11));
    // The peer's latest changes are at 10 and 14. It does not list "a", which was deleted at 13.
    apply(put("b", 14));
    registry_.advance(10, 14);
    CHECK_TRUE(holds("a"));
    LONGS_EQUAL(1, registry_.delete_stale(14).size());
    CHECK_FALSE(holds("a"));
    CHECK_TRUE(holds("b"));
    CHECK_FALSE(apply(put("a", 12)));
}

TEST(contract_registry, changes_are_not_complete_for_a_peer_between_two_reads) {
    registry_.reconcile({}, 0, 10);
    registry_.reconcile({}, 0, 20);
    CHECK_TRUE(registry_.can_list_after(10));
    CHECK_FALSE(registry_.can_list_after(15));
    CHECK_TRUE(registry_.can_list_after(20));
}

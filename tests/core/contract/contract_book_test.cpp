#include "core/contract/contract_book.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>

using namespace fuchsiaquay;
using std::chrono::seconds;

TEST_GROUP(contract_book) {
    contract_book book_{seconds(10)};

    static contract_change put(const std::string& customer, std::int64_t revision) {
        return {customer_id(customer), revision, false, "r" + std::to_string(revision)};
    }
    static contract_change erase(const std::string& customer, std::int64_t revision) {
        return {customer_id(customer), revision, true, ""};
    }
    bool apply(const contract_change& change) {
        return apply(book_, change);
    }
    static bool apply(contract_book & book, const contract_change& change) {
        contract parsed;
        parsed.customer = change.customer;
        parsed.revision = change.revision;
        parsed.key_digests = {"key of " + change.customer.value()};
        return book.apply(change, parsed);
    }
    bool holds(const std::string& customer) {
        return book_.table()->find(customer_id(customer)) != nullptr;
    }
};

TEST(contract_book, changes_in_any_order_end_in_the_same_contracts) {
    std::vector<contract_change> changes{put("a", 2), put("b", 3),   erase("a", 4), put("a", 6),
                                         put("c", 7), erase("c", 8), put("b", 9)};
    std::mt19937 random(11);
    for (int round = 0; round < 200; ++round) {
        contract_book book{seconds(10)};
        std::shuffle(changes.begin(), changes.end(), random);
        for (const contract_change& change : changes) {
            apply(book, change);
        }
        LONGS_EQUAL(6, book.table()->find(customer_id("a"))->revision);
        LONGS_EQUAL(9, book.table()->find(customer_id("b"))->revision);
        CHECK_TRUE(book.table()->find(customer_id("c")) == nullptr);
    }
}

TEST(contract_book, old_change_to_a_forgotten_customer_is_ignored) {
    book_.reconcile({}, 9, 10);
    CHECK_FALSE(apply(put("a", 9)));
    CHECK_TRUE(apply(put("a", 11)));
}

TEST(contract_book, reading_without_a_customer_deletes_only_what_is_older) {
    apply(put("a", 5));
    apply(put("b", 20));
    LONGS_EQUAL(1, book_.reconcile({}, 8, 10).size());
    CHECK_FALSE(holds("a"));
    CHECK_TRUE(holds("b"));
}

TEST(contract_book, complete_revision_waits_for_the_change_between) {
    book_.reconcile({}, 0, 10);
    apply(put("b", 12));
    book_.advance(11, 12);
    LONGS_EQUAL(10, book_.complete_revision());
    apply(put("a", 11));
    book_.advance(10, 11);
    LONGS_EQUAL(11, book_.complete_revision());
}

TEST(contract_book, unproved_contracts_are_said_to_be_so) {
    const instant start{};
    CHECK_TRUE(book_.freshness(start).standing == contract_standing::catching_up);
    book_.set_caught_up();
    CHECK_TRUE(book_.freshness(start).standing == contract_standing::unproved);
    book_.confirm(start);
    CHECK_TRUE(book_.freshness(start + seconds(10)).standing == contract_standing::current);
    CHECK_TRUE(book_.freshness(start + seconds(11)).standing == contract_standing::unproved);
    book_.hear_of(5);
    CHECK_TRUE(book_.freshness(start).standing == contract_standing::behind);
}

TEST(contract_book, forgotten_deletions_are_not_listed_as_complete) {
    contract_book book{seconds(10), 1};
    apply(book, put("a", 2));
    apply(book, erase("a", 3));
    book.advance(0, 3);
    CHECK_TRUE(book.can_list_after(1));
    apply(book, put("b", 4));
    apply(book, erase("b", 5));
    book.advance(3, 5);
    apply(book, put("c", 6));
    CHECK_FALSE(book.can_list_after(1));
    CHECK_TRUE(book.can_list_after(3));
}

TEST(contract_book, key_finds_its_contract_until_deleted) {
    apply(put("a", 2));
    CHECK_TRUE(book_.table()->find_by_key("key of a") != nullptr);
    apply(erase("a", 3));
    CHECK_TRUE(book_.table()->find_by_key("key of a") == nullptr);
}

TEST(contract_book, contract_that_a_claim_passes_over_is_deleted_when_settled) {
    book_.reconcile({}, 0, 10);
    apply(put("a", 11));
    // A peer whose latest changes are at 10 and 14 never saw "a", which was deleted at 13.
    apply(put("b", 14));
    book_.advance(10, 14);
    CHECK_TRUE(holds("a"));
    LONGS_EQUAL(1, book_.settle_doubtful(14).size());
    CHECK_FALSE(holds("a"));
    CHECK_TRUE(holds("b"));
    CHECK_FALSE(apply(put("a", 12)));
}

TEST(contract_book, peer_between_two_readings_cannot_be_told_everything) {
    book_.reconcile({}, 0, 10);
    book_.reconcile({}, 0, 20);
    CHECK_TRUE(book_.can_list_after(10));
    CHECK_FALSE(book_.can_list_after(15));
    CHECK_TRUE(book_.can_list_after(20));
}

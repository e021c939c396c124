#include "core/hashing/rendezvous.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using fuchsiaquay::host_id;
using fuchsiaquay::rendezvous_order;
using fuchsiaquay::rendezvous_owner;

TEST_GROUP(rendezvous) {
    std::vector<host_id> hosts_{host_id("a"), host_id("b"), host_id("c"), host_id("d")};
};

TEST(rendezvous, host_removed_moves_only_its_keys) {
    const std::vector<host_id> fewer{host_id("a"), host_id("b"), host_id("d")};
    for (int i = 0; i < 500; ++i) {
        const std::string key = "engine-" + std::to_string(i);
        const host_id before = rendezvous_owner(key, hosts_);
        if (before != host_id("c")) {
            CHECK_TRUE(before == rendezvous_owner(key, fewer));
        }
    }
}

TEST(rendezvous, no_candidates_gives_empty_owner) {
    CHECK_TRUE(rendezvous_owner("engine", {}).empty());
}

TEST(rendezvous, order_of_candidates_does_not_matter) {
    const std::vector<host_id> reversed(hosts_.rbegin(), hosts_.rend());
    CHECK_TRUE(rendezvous_order("engine", hosts_, 3) == rendezvous_order("engine", reversed, 3));
}

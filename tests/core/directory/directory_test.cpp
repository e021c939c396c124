#include "core/directory/directory.hpp"

#include <algorithm>

#include "tests/core/membership/virtual_fleet.hpp"

// Included after the standard headers because its macros break them.
#include <CppUTest/TestHarness.h>

using namespace fuchsiaquay;
using std::chrono::seconds;

TEST_GROUP(directory) {
    directory_settings settings_;
    std::vector<member_update> live_;

    void setup() override {
        for (int i = 0; i < 12; ++i) {
            member_update member;
            member.host = host_id("h" + std::to_string(i));
            member.data_centre = data_centre_id(i < 6 ? "a" : "b");
            live_.push_back(member);
        }
    }

    entrypoint_answer answer(const std::string& customer, const std::string& home = "a") const {
        return choose_entrypoints(settings_, customer_id(customer), data_centre_id(home), live_);
    }

    static bool contains(const entrypoint_answer& answer, const host_id& host) {
        return std::any_of(answer.hosts.begin(), answer.hosts.end(),
                           [&](const entrypoint& entry) { return entry.host == host; });
    }
};

TEST(directory, customer_gets_few_hosts_of_its_data_centre) {
    const entrypoint_answer given = answer("greenline");
    LONGS_EQUAL(3, given.hosts.size());
    for (const entrypoint& entry : given.hosts) {
        CHECK_TRUE(entry.host < host_id("h6"));
    }
    CHECK_TRUE(given == answer("greenline"));
}

TEST(directory, only_the_removed_host_is_replaced) {
    const entrypoint_answer before = answer("greenline");
    const host_id removed = before.hosts[1].host;
    live_.erase(std::remove_if(live_.begin(), live_.end(),
                               [&](const member_update& member) { return member.host == removed; }),
                live_.end());
    const entrypoint_answer after = answer("greenline");
    CHECK_FALSE(contains(after, removed));
    CHECK_TRUE(contains(after, before.hosts[0].host));
    CHECK_TRUE(contains(after, before.hosts[2].host));
}

TEST(directory, remote_hosts_are_added_if_local_ones_are_too_few) {
    live_.erase(live_.begin(), live_.begin() + 5);
    const entrypoint_answer given = answer("greenline");
    LONGS_EQUAL(3, given.hosts.size());
    CHECK_TRUE(given.hosts[0].host == host_id("h5"));
}

TEST(directory, suspect_is_only_returned_if_there_are_no_others) {
    const host_id suspected = answer("greenline").hosts[0].host;
    for (member_update& member : live_) {
        if (member.host == suspected) {
            member.state = member_state::suspect;
        }
    }
    CHECK_FALSE(contains(answer("greenline"), suspected));
    live_.erase(
        std::remove_if(live_.begin(), live_.end(),
                       [&](const member_update& member) { return member.host != suspected; }),
        live_.end());
    CHECK_TRUE(contains(answer("greenline"), suspected));
}

TEST(directory, answers_with_a_leaving_host_expire_within_its_drain_time) {
    virtual_fleet fleet(3);
    fleet.add_hosts(24, 3);
    fleet.run(seconds(40));
    CHECK_TRUE(fleet.converged());
    const host_id leaving = virtual_fleet::name(5);
    const instant left_at = fleet.now;
    fleet.logic(5).leave(fleet.now);
    instant last_expiry = left_at;
    for (int step = 0; step < 300; ++step) {
        fleet.run(std::chrono::milliseconds(100));
        for (auto& [host, node] : fleet.nodes()) {
            const std::vector<host_id> hosts =
                node.logic->live_hosts(virtual_fleet::centre(2), fleet.now);
            if (std::find(hosts.begin(), hosts.end(), leaving) != hosts.end()) {
                last_expiry = fleet.now + settings_.max_age;
            }
        }
    }
    CHECK_TRUE(last_expiry <= left_at + settings_.drain_time());
}

#include "core/membership/membership.hpp"

#include "tests/core/membership/virtual_fleet.hpp"

// Included after the standard headers because its macros break them.
#include <CppUTest/TestHarness.h>

using namespace fuchsiaquay;
using std::chrono::minutes;
using std::chrono::seconds;

TEST_GROUP(membership) {
    virtual_fleet fleet_{42};
    int deaths_ = 0;

    void start(int hosts, int data_centres) {
        fleet_.add_hosts(hosts, data_centres);
        CHECK_TRUE(converges_within(seconds(60)));
        fleet_.on_change = [this](const host_id&, const member_change& change) {
            deaths_ += change.member.state == member_state::dead ? 1 : 0;
        };
    }

    bool converges_within(duration limit) {
        return fleet_.run_until([this] { return fleet_.converged(); }, limit) < limit;
    }
};

TEST(membership, fleet_of_three_data_centres_converges) {
    start(9, 3);
    CHECK_TRUE(fleet_.logic(8).joined());
}

TEST(membership, crash_is_detected_by_all_hosts_within_twelve_seconds) {
    start(24, 3);
    fleet_.crash(7);
    CHECK_TRUE(converges_within(seconds(12)));
}

TEST(membership, processes_paused_for_two_seconds_are_not_declared_dead) {
    start(40, 4);
    for (int round = 0; round < 10; ++round) {
        for (int i = 0; i < 4; ++i) {
            fleet_.pause((round * 4 + i) % 40, seconds(2));
        }
        fleet_.run(seconds(10));
    }
    LONGS_EQUAL(0, deaths_);
    CHECK_TRUE(fleet_.converged());
}

TEST(membership, host_declared_dead_during_a_pause_returns_with_higher_incarnation) {
    start(9, 3);
    const std::uint64_t before = fleet_.logic(4).self().incarnation;
    fleet_.pause(4, seconds(30));
    fleet_.run(seconds(25));
    CHECK_TRUE(fleet_.logic(1).members().find(virtual_fleet::name(4))->update.state ==
               member_state::dead);
    fleet_.run(seconds(5));
    CHECK_TRUE(converges_within(seconds(15)));
    CHECK_TRUE(fleet_.logic(4).self().incarnation > before);
}

TEST(membership, host_removed_during_a_pause_returns) {
    start(9, 3);
    fleet_.pause(4, minutes(15));
    fleet_.run(minutes(14));
    deaths_ = 0;
    fleet_.run(minutes(1));
    CHECK_TRUE(fleet_.logic(1).members().find(virtual_fleet::name(4)) == nullptr);
    CHECK_TRUE(converges_within(seconds(20)));
    LONGS_EQUAL(0, deaths_);
}

TEST(membership, resumed_process_does_not_declare_its_suspects_dead) {
    start(9, 1);
    fleet_.on_change = [this](const host_id& at, const member_change& change) {
        const bool suspicion = change.member.state == member_state::suspect;
        if (suspicion && at == virtual_fleet::name(1)) {
            fleet_.pause(1, seconds(10));
        }
        deaths_ += change.member.host == virtual_fleet::name(2) &&
                   change.member.state == member_state::dead;
    };
    fleet_.pause(2, seconds(3));
    fleet_.run(seconds(30));
    LONGS_EQUAL(0, deaths_);
    CHECK_TRUE(fleet_.converged());
}

TEST(membership, process_paused_just_below_the_suspicion_timeout_is_not_declared_dead) {
    start(49, 1);
    for (int i = 0; i < 20; ++i) {
        fleet_.pause(i, std::chrono::milliseconds(3900));
        fleet_.run(seconds(10));
    }
    LONGS_EQUAL(0, deaths_);
}

TEST(membership, restart_at_the_same_address_is_a_new_incarnation) {
    start(9, 3);
    fleet_.start(4, 1, 5000);
    CHECK_TRUE(converges_within(seconds(15)));
    fleet_.run(seconds(10));
    LONGS_EQUAL(5000, fleet_.logic(8).members().find(virtual_fleet::name(4))->update.incarnation);
    LONGS_EQUAL(0, deaths_);
}

TEST(membership, dead_host_is_removed) {
    start(9, 3);
    fleet_.crash(4);
    fleet_.run(minutes(11));
    for (int i : {0, 1, 8}) {
        CHECK_TRUE(fleet_.logic(i).members().find(virtual_fleet::name(4)) == nullptr);
    }
}

TEST(membership, leaving_host_is_not_live_in_its_data_centre_within_a_second) {
    start(24, 3);
    fleet_.logic(5).leave(fleet_.now);
    fleet_.run(seconds(1));
    for (int i = 2; i < 24; i += 3) {
        for (const host_id& host :
             fleet_.logic(i).live_hosts(virtual_fleet::centre(2), fleet_.now)) {
            CHECK_FALSE(host == virtual_fleet::name(5));
        }
    }
}

TEST(membership, fleet_converges_after_all_hosts_were_replaced_in_turn) {
    start(9, 3);
    for (int i = 0; i < 9; ++i) {
        fleet_.logic(i).leave(fleet_.now);
        fleet_.run(seconds(2));
        fleet_.logic(i).stop(fleet_.now);
        fleet_.run(seconds(1));
        fleet_.crash(i);
        fleet_.start(i, i % 3, 10000 + static_cast<std::uint64_t>(i));
        fleet_.run(seconds(3));
    }
    CHECK_TRUE(converges_within(seconds(20)));
}

TEST(membership, partitioned_data_centre_is_unreachable_and_returns_without_deaths) {
    start(9, 3);
    fleet_.cut = [](const member_update& from, const member_update& to) {
        const data_centre_id partitioned = virtual_fleet::centre(2);
        return (from.data_centre == partitioned) != (to.data_centre == partitioned);
    };
    fleet_.run(seconds(25));
    CHECK_FALSE(fleet_.logic(0).reachable(virtual_fleet::centre(2), fleet_.now));
    CHECK_TRUE(fleet_.logic(0).reachable(virtual_fleet::centre(1), fleet_.now));
    CHECK_TRUE(fleet_.logic(0).live_hosts(virtual_fleet::centre(2), fleet_.now).empty());
    fleet_.cut = nullptr;
    CHECK_TRUE(converges_within(seconds(30)));
    LONGS_EQUAL(0, deaths_);
}

TEST(membership, partition_inside_a_data_centre_heals) {
    start(12, 1);
    fleet_.cut = [](const member_update& from, const member_update& to) {
        const bool left = from.host.value().back() % 2 == 0;
        return left != (to.host.value().back() % 2 == 0);
    };
    fleet_.run(minutes(2));
    CHECK_TRUE(fleet_.logic(0).live_hosts(virtual_fleet::centre(0), fleet_.now).size() < 12);
    fleet_.cut = nullptr;
    CHECK_TRUE(converges_within(minutes(2)));
}

TEST(membership, one_failed_path_causes_no_suspicion) {
    start(9, 1);
    int suspicions = 0;
    fleet_.on_change = [&](const host_id&, const member_change& change) {
        suspicions += change.member.state == member_state::suspect;
    };
    fleet_.cut = [](const member_update& from, const member_update& to) {
        const host_id a = virtual_fleet::name(3);
        const host_id b = virtual_fleet::name(4);
        return (from.host == a && to.host == b) || (from.host == b && to.host == a);
    };
    fleet_.run(minutes(2));
    LONGS_EQUAL(0, suspicions);
}

TEST(membership, suspicion_from_another_data_centre_declares_no_host_dead) {
    start(9, 3);
    gossip_message message;
    message.updates = {fleet_.logic(1).self()};
    message.updates[0].state = member_state::suspect;
    fleet_.logic(0).receive(virtual_fleet::name(3), message, fleet_.now);
    fleet_.run(seconds(30));
    LONGS_EQUAL(0, deaths_);
}

TEST(membership, new_host_at_the_address_of_another_replaces_it_immediately) {
    member_table table;
    member_update old_host{host_id("old"),     data_centre_id("a"), "10.0.0.1", 7000, 8000, 1,
                           member_state::alive};
    member_update new_host = old_host;
    new_host.host = host_id("new");
    new_host.incarnation = 2;
    table.apply(old_host, instant());
    table.apply(new_host, instant());
    CHECK_TRUE(table.find(host_id("old"))->update.state == member_state::dead);
    CHECK_TRUE(table.live_hosts(data_centre_id("a")) == std::vector<host_id>{host_id("new")});
}

#include <CppUTest/TestHarness.h>

#include "tests/servers/fleet/virtual_hosts.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using names = std::set<std::string>;

/// Well before the bound that the users set (evacuate_ms, 5 s).
constexpr duration usual_time = seconds(1);
/// Within the bound less the time of a request on its way.
constexpr duration bound = milliseconds(4'700);

}  // namespace

/// Nine hosts in three data centres, one of which the operator evacuates.
TEST_GROUP(evacuations_of_hosts) {
    virtual_hosts fleet_;

    void setup() override {
        fleet_.with_evacuations = true;
        fleet_.store.put("config", "1");
        fleet_.store.put("servers/a", "ready");
        for (int i = 0; i < 9; ++i) {
            fleet_.add("h" + std::to_string(i), "dc" + std::to_string(i % 3));
        }
        fleet_.timers.advance(seconds(3));
    }

    void begin(const std::string& data_centre) {
        fleet_.store.put("config/evacuate/" + data_centre, "{}");
    }
    void end(const std::string& data_centre) {
        fleet_.store.erase("config/evacuate/" + data_centre);
    }
    bool all_know(const names& expected) const {
        for (const auto& [name, host] : fleet_.hosts) {
            if (host->evacuations.current().data_centres() != expected) {
                return false;
            }
        }
        return true;
    }
    /// Whether every host whose copy counts as current knows `expected`.
    bool all_current_know(const names& expected) const {
        for (const auto& [name, host] : fleet_.hosts) {
            if (host->configuration_mirror.fresh() &&
                host->evacuations.current().data_centres() != expected) {
                return false;
            }
        }
        return true;
    }
    virtual_host& a_watcher() {
        for (const auto& [name, host] : fleet_.hosts) {
            if (host->views.watches_store()) {
                return *host;
            }
        }
        return *fleet_.hosts.begin()->second;
    }
};

TEST(evacuations_of_hosts, all_hosts_learn_of_begin_overlap_and_end) {
    begin("dc0");
    fleet_.timers.advance(usual_time);
    CHECK_TRUE(all_know({"dc0"}));
    begin("dc1");
    fleet_.timers.advance(usual_time);
    CHECK_TRUE(all_know({"dc0", "dc1"}));
    end("dc0");
    fleet_.timers.advance(usual_time);
    CHECK_TRUE(all_know({"dc1"}));
    end("dc1");
    fleet_.timers.advance(usual_time);
    CHECK_TRUE(all_know({}));
}

TEST(evacuations_of_hosts, evacuation_costs_no_store_calls_of_its_own) {
    const int before = fleet_.store.calls;
    fleet_.timers.advance(seconds(10));
    const int idle = fleet_.store.calls - before;
    begin("dc0");
    fleet_.timers.advance(seconds(10));
    CHECK_TRUE(fleet_.store.calls - before - idle <= idle + 3);
}

TEST(evacuations_of_hosts, known_change_is_not_requested_again) {
    begin("dc0");
    fleet_.timers.advance(seconds(2));
    fleet_.network.sent.clear();
    fleet_.timers.advance(seconds(4));
    int begun = 0;
    for (const auto& [hosts, count] : fleet_.network.sent) {
        begun += count;
    }
    fleet_.network.sent.clear();
    end("dc0");
    fleet_.timers.advance(seconds(2));
    fleet_.network.sent.clear();
    fleet_.timers.advance(seconds(4));
    int ended = 0;
    for (const auto& [hosts, count] : fleet_.network.sent) {
        ended += count;
    }
    CHECK_TRUE(ended <= begun + begun / 20);
}

TEST(evacuations_of_hosts, late_host_knows_before_its_copy_is_fresh) {
    begin("dc0");
    fleet_.timers.advance(usual_time);
    virtual_host& late = fleet_.add("late", "dc1");
    for (int i = 0; i < 400 && !late.configuration_mirror.fresh(); ++i) {
        fleet_.timers.advance(milliseconds(5));
    }
    CHECK_TRUE(late.configuration_mirror.fresh());
    CHECK_TRUE(late.evacuations.current().data_centres() == names{"dc0"});
}

TEST(evacuations_of_hosts, host_that_does_not_watch_the_store_learns_from_others) {
    int followers = 0;
    begin("dc2");
    fleet_.timers.advance(usual_time);
    for (const auto& [name, host] : fleet_.hosts) {
        if (!host->views.watches_store()) {
            ++followers;
            CHECK_FALSE(host->configuration_mirror.following());
            CHECK_TRUE(host->evacuations.current().data_centres() == names{"dc2"});
        }
    }
    CHECK_TRUE(followers > 0);
}

TEST(evacuations_of_hosts, change_in_lost_history_is_read_from_the_store) {
    begin("dc0");
    fleet_.timers.advance(usual_time);
    fleet_.store.down = true;
    fleet_.timers.advance(seconds(2));
    end("dc0");
    begin("dc1");
    fleet_.store.compact();
    fleet_.store.down = false;
    fleet_.timers.advance(usual_time + usual_time);
    CHECK_TRUE(all_know({"dc1"}));
}

TEST(evacuations_of_hosts, copy_that_misses_changes_of_an_outage_is_not_current) {
    begin("dc0");
    fleet_.timers.advance(usual_time);
    fleet_.store.down = true;
    end("dc0");
    begin("dc1");
    for (duration passed{}; passed < seconds(12); passed += milliseconds(50)) {
        fleet_.timers.advance(milliseconds(50));
        if (passed > seconds(5)) {
            CHECK_TRUE(all_current_know({"dc1"}));
        }
    }
    fleet_.store.down = false;
    fleet_.timers.advance(seconds(5));
    CHECK_TRUE(all_know({"dc1"}));
    for (const auto& [name, host] : fleet_.hosts) {
        CHECK_TRUE(host->configuration_mirror.fresh());
    }
}

TEST(evacuations_of_hosts, withheld_changes_do_not_undo_an_evacuation) {
    begin("dc0");
    fleet_.timers.advance(usual_time);
    fleet_.store.mute = true;
    begin("dc1");
    fleet_.timers.advance(seconds(1));
    fleet_.store.compact();
    fleet_.store.mute = false;
    fleet_.timers.advance(usual_time + usual_time);
    for (const auto& [name, host] : fleet_.hosts) {
        CHECK_TRUE(host->evacuations.current().data_centres().count("dc0") > 0);
    }
}

TEST(evacuations_of_hosts, late_answers_never_make_a_host_send_after_the_bound) {
    virtual_host& late = fleet_.add("late", "dc1");
    fleet_.network.delay = milliseconds(900);
    fleet_.network.overtaking = true;
    begin("dc0");
    fleet_.timers.advance(bound);
    for (int i = 0; i < 200; ++i) {
        fleet_.timers.advance(milliseconds(50));
        if (late.configuration_mirror.fresh()) {
            CHECK_TRUE(late.evacuations.current().data_centres() == names{"dc0"});
        }
        CHECK_TRUE(all_current_know({"dc0"}));
    }
}

TEST(evacuations_of_hosts, host_alone_reads_the_whole_state_from_the_store) {
    virtual_host& alone = fleet_.add("alone", "dc9");
    fleet_.timers.advance(seconds(1));
    fleet_.network.disconnected.insert(alone.registry_address);
    begin("dc0");
    fleet_.timers.advance(seconds(3));
    end("dc0");
    begin("dc1");
    fleet_.store.put("config", "2");
    fleet_.timers.advance(seconds(6));
    CHECK_TRUE(alone.evacuations.current().data_centres() == names{"dc1"} ||
               !alone.configuration_mirror.fresh());
    LONGS_EQUAL(2, a_watcher().version());
}

TEST(evacuations_of_hosts, changes_of_both_are_taken_over_together) {
    for (int round = 0; round < 6; ++round) {
        const std::string data_centre = "dc" + std::to_string(round % 3);
        fleet_.store.put("config", std::to_string(10 * round + 2));
        begin(data_centre);
        fleet_.store.put("config", std::to_string(10 * round + 3));
        fleet_.timers.advance(usual_time);
        CHECK_TRUE(all_know({data_centre}));
        end(data_centre);
        fleet_.store.put("config", std::to_string(10 * round + 4));
        fleet_.timers.advance(usual_time);
        CHECK_TRUE(all_know({}));
        for (const auto& [name, host] : fleet_.hosts) {
            LONGS_EQUAL(10 * round + 4, host->version());
        }
    }
}

/// Eight hosts of a version that does not know evacuations, and a newer one that starts while the
/// store is out.
TEST_GROUP(evacuations_of_hosts_of_two_versions) {
    virtual_hosts fleet_;
    virtual_host* newer_ = nullptr;

    void setup() override {
        fleet_.store.put("config/evacuate/dc0", "{}");
        fleet_.store.put("config", "1");
        fleet_.store.put("servers/a", "ready");
        for (int i = 0; i < 8; ++i) {
            fleet_.add("h" + std::to_string(i), "dc" + std::to_string(i % 3));
        }
        fleet_.timers.advance(seconds(3));
        fleet_.with_evacuations = true;
        newer_ = &fleet_.add("newer", "dc1");
        fleet_.timers.advance(milliseconds(20));
        fleet_.store.down = true;
    }
};

TEST(evacuations_of_hosts_of_two_versions, copy_of_an_older_host_does_not_count_as_current) {
    for (int i = 0; i < 40; ++i) {
        fleet_.timers.advance(milliseconds(50));
        CHECK_FALSE(newer_->configuration_mirror.fresh());
    }
    LONGS_EQUAL(1, newer_->version());
}

TEST(evacuations_of_hosts_of_two_versions, host_reads_evacuations_older_than_its_configuration) {
    fleet_.timers.advance(seconds(2));
    fleet_.store.down = false;
    fleet_.timers.advance(seconds(8));
    CHECK_TRUE(newer_->configuration_mirror.fresh());
    CHECK_TRUE(newer_->evacuations.current().data_centres() == names{"dc0"});
}

TEST_GROUP(evacuations_of_hosts_not_used) {
    virtual_hosts fleet_;
};

TEST(evacuations_of_hosts_not_used, keys_of_evacuations_have_no_effect) {
    fleet_.store.put("config", "1");
    fleet_.store.put("config/evacuate/dc0", "{}");
    for (int i = 0; i < 6; ++i) {
        fleet_.add("h" + std::to_string(i), "dc" + std::to_string(i % 3));
    }
    fleet_.timers.advance(seconds(3));
    for (const auto& [name, host] : fleet_.hosts) {
        CHECK_TRUE(host->configuration_mirror.fresh());
        CHECK_TRUE(host->evacuations.current().empty());
    }
}

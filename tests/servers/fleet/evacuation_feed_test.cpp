#include "servers/fleet/evacuation_feed.hpp"

#include <CppUTest/TestHarness.h>

#include "tests/servers/recording_log.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

namespace {

using names = std::set<std::string>;

watch_event started(const std::string& data_centre, std::int64_t revision) {
    return {{"e/" + data_centre, "{}", revision}, false};
}

watch_event ended(const std::string& data_centre, std::int64_t revision) {
    return {{"e/" + data_centre, "", revision}, true};
}

}  // namespace

TEST_GROUP(evacuation_feed) {
    recording_log log_;
    evacuation_feed feed_{log_, "e/", true};

    const names& evacuated() const {
        return feed_.current().data_centres();
    }
};

TEST(evacuation_feed, snapshot_and_changes_begin_and_end_evacuations) {
    feed_.on_snapshot({{"config", "1", 3}, {"e/a", "{}", 5}}, 9, false);
    CHECK_TRUE(evacuated() == names{"a"});
    feed_.on_changes({started("b", 10), ended("a", 11)}, 11);
    CHECK_TRUE(evacuated() == names{"b"});
    LONGS_EQUAL(11, feed_.current().revision());
    feed_.on_snapshot({{"config", "1", 3}}, 20, false);
    CHECK_TRUE(evacuated().empty());
    LONGS_EQUAL(1, log_.count("evacuation_started data_centre=a revision=5 source=store"));
    LONGS_EQUAL(1, log_.count("evacuation_started data_centre=b revision=11 source=store"));
    LONGS_EQUAL(1, log_.count("evacuation_ended data_centre=a revision=11 source=store"));
    LONGS_EQUAL(1, log_.count("evacuation_ended data_centre=b revision=20 source=store"));
}

// Guards against requests to upstreams that became cold while nothing was sent to them.
TEST(evacuation_feed, end_of_an_evacuation_is_told_once_for_each_data_centre) {
    std::vector<std::string> returned;
    feed_.on_ended([&returned](const std::string& name) { returned.push_back(name); });
    feed_.on_snapshot({{"e/a", "{}", 5}, {"e/b", "{}", 6}}, 9, false);
    feed_.on_changes({ended("a", 11)}, 11);
    feed_.merge(evacuation_set({}, 12), 12, "h2");
    feed_.on_snapshot({}, 20, false);
    CHECK_TRUE((returned == std::vector<std::string>{"a", "b"}));
}

TEST(evacuation_feed, empty_snapshot_makes_the_set_known) {
    LONGS_EQUAL(0, feed_.as_of());
    feed_.on_snapshot({}, 4, false);
    LONGS_EQUAL(4, feed_.as_of());
}

TEST(evacuation_feed, changes_alone_do_not_make_the_set_known) {
    feed_.on_changes({started("a", 10)}, 10);
    LONGS_EQUAL(0, feed_.as_of());
}

TEST(evacuation_feed, older_set_of_another_host_is_not_taken_over) {
    feed_.on_snapshot({}, 4, false);
    feed_.on_changes({started("a", 10)}, 10);
    feed_.merge({{}, 0}, 9, "late");
    CHECK_TRUE(evacuated() == names{"a"});
    feed_.merge({{"a", "b"}, 12}, 12, "near");
    CHECK_TRUE((evacuated() == names{"a", "b"}));
    LONGS_EQUAL(1, log_.count("evacuation_started data_centre=b revision=12 source=near"));
}

// The store may withhold changes from one watcher, whose polls return none meanwhile.
TEST(evacuation_feed, polls_without_changes_do_not_make_an_old_set_newer) {
    feed_.on_snapshot({}, 4, false);
    feed_.on_changes({}, 30);
    feed_.merge({{"a"}, 10}, 10, "peer");
    CHECK_TRUE(evacuated() == names{"a"});
}

TEST(evacuation_feed, late_snapshot_and_repeated_changes_are_ignored) {
    feed_.on_snapshot({}, 4, false);
    feed_.merge({{"a"}, 10}, 10, "peer");
    feed_.on_snapshot({}, 8, false);
    CHECK_TRUE(evacuated() == names{"a"});
    feed_.on_changes({started("b", 6), ended("b", 7)}, 9);
    feed_.on_changes({ended("a", 12)}, 12);
    CHECK_TRUE(evacuated().empty());
}

// A data centre that was taken back and evacuated again between two snapshots.
TEST(evacuation_feed, second_evacuation_is_newer_than_the_end_of_the_first) {
    feed_.on_snapshot({{"e/a", "{}", 5}}, 6, false);
    feed_.on_snapshot({{"e/a", "{}", 15}}, 16, false);
    feed_.merge({{}, 10}, 10, "saw the end only");
    CHECK_TRUE(evacuated() == names{"a"});
    LONGS_EQUAL(15, feed_.current().revision());
}

TEST(evacuation_feed, host_that_does_not_know_is_not_believed) {
    feed_.merge({{}, 0}, 0, "older version");
    LONGS_EQUAL(0, feed_.as_of());
}

TEST(evacuation_feed, nothing_is_evacuated_if_the_deployment_does_not_use_it) {
    evacuation_feed unused(log_, "e/", false);
    unused.on_snapshot({{"e/a", "{}", 5}}, 9, false);
    unused.on_changes({started("b", 10)}, 10);
    unused.merge({{"c"}, 12}, 12, "peer");
    CHECK_TRUE(unused.current().empty());
    LONGS_EQUAL(0, unused.as_of());
    LONGS_EQUAL(0, log_.count("evacuation"));
}

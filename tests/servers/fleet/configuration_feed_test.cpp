#include "servers/fleet/configuration_feed.hpp"

#include <CppUTest/TestHarness.h>

#include "core/fleet/fleet_configuration.hpp"
#include "core/freshness/store_revision.hpp"
#include "servers/fleet/configuration_codec.hpp"
#include "tests/servers/recording_log.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

namespace {

/// The text starts with the version; the rest is ignored.
class number_codec final : public configuration_codec {
public:
    std::shared_ptr<const fleet_configuration> decode(const std::string& text) const override {
        return std::make_shared<fleet_configuration>(std::stoll(text), caller_limits(), true);
    }
};

}  // namespace

TEST_GROUP(configuration_feed) {
    number_codec codec_;
    recording_log log_;
    configuration_feed sender_{codec_, log_, "config"};
    configuration_feed receiver_{codec_, log_, "config"};

    static std::string text(int version) {
        return std::to_string(version) + " {} {" + std::string(200'000, 'x') + "}";
    }
    void add_version(int version) {
        sender_.apply({"config", text(version), version * 10});
    }
};

TEST(configuration_feed, host_with_earlier_version_gets_a_small_delta) {
    add_version(1);
    receiver_.apply({"config", text(1), 10});
    add_version(2);
    add_version(3);
    const configuration_answer answer = sender_.answer_for(receiver_.revision());
    LONGS_EQUAL(10, answer.base);
    CHECK_TRUE(answer.body.size() < 200);
    CHECK_TRUE(receiver_.apply_answer(answer));
    LONGS_EQUAL(3, receiver_.current()->version());
    LONGS_EQUAL(30, receiver_.revision());
    LONGS_EQUAL(0, sender_.answer_for(receiver_.revision()).base);
}

TEST(configuration_feed, host_without_configuration_gets_the_whole_text) {
    add_version(4);
    const configuration_answer answer = sender_.answer_for(0);
    LONGS_EQUAL(0, answer.base);
    CHECK_TRUE(receiver_.apply_answer(answer));
    LONGS_EQUAL(4, receiver_.current()->version());
}

TEST(configuration_feed, host_with_very_old_version_gets_the_whole_text) {
    for (int version = 1; version < 20; ++version) {
        add_version(version);
    }
    LONGS_EQUAL(0, sender_.answer_for(10).base);
    LONGS_EQUAL(180, sender_.answer_for(180).revision - 10);
}

TEST(configuration_feed, delta_to_an_unknown_base_is_rejected) {
    add_version(1);
    add_version(2);
    const configuration_answer answer = sender_.answer_for(10);
    CHECK_FALSE(receiver_.apply_answer(answer));
    receiver_.apply({"config", "1 {} {another text}", 10});
    CHECK_FALSE(receiver_.apply_answer(answer));
    LONGS_EQUAL(1, receiver_.current()->version());
    LONGS_EQUAL(2, log_.count("configuration_delta_unusable"));
}

// Guards against an older version that a restored store holds for a while.
TEST(configuration_feed, older_version_of_a_later_era_is_not_handed_to_other_hosts) {
    sender_.apply({"config", text(4), make_store_revision(1, 40)});
    receiver_.apply({"config", text(4), make_store_revision(1, 40)});
    sender_.apply({"config", text(3), make_store_revision(2, 30)});
    LONGS_EQUAL(4, sender_.current()->version());
    LONGS_EQUAL(1, log_.count("configuration_older_in_store"));
    const configuration_answer answer = sender_.answer_for(receiver_.revision());
    CHECK_TRUE(answer.body.size() < 200);
    CHECK_TRUE(receiver_.apply_answer(answer));
    LONGS_EQUAL(4, receiver_.current()->version());
    configuration_feed started{codec_, log_, "config"};
    CHECK_TRUE(started.apply_answer(sender_.answer_for(0)));
    LONGS_EQUAL(4, started.current()->version());
    sender_.apply({"config", text(5), make_store_revision(2, 32)});
    CHECK_TRUE(receiver_.apply_answer(sender_.answer_for(receiver_.revision())));
    LONGS_EQUAL(5, receiver_.current()->version());
}

TEST(configuration_feed, value_of_a_lower_revision_is_ignored_and_logged) {
    add_version(4);
    sender_.apply({"config", text(5), 39});
    LONGS_EQUAL(4, sender_.current()->version());
    LONGS_EQUAL(1, log_.count("configuration_ignored"));
}

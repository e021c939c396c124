#include "servers/fleet/configuration_feed.hpp"

#include <CppUTest/TestHarness.h>

#include "core/fleet/fleet_configuration.hpp"
#include "servers/fleet/configuration_codec.hpp"
#include "tests/servers/quiet_log.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

namespace {

/// The text is the version; what follows the first number counts for nothing.
class number_codec final : public configuration_codec {
public:
    std::shared_ptr<const fleet_configuration> decode(const std::string& text) const override {
        return std::make_shared<fleet_configuration>(std::stoll(text), caller_limits(), true);
    }
};

}  // namespace

TEST_GROUP(configuration_feed) {
    number_codec codec_;
    quiet_log log_;
    configuration_feed giver_{codec_, log_, "config"};
    configuration_feed taker_{codec_, log_, "config"};

    static std::string text(int version) {
        return std::to_string(version) + " {} {" + std::string(200'000, 'x') + "}";
    }
    void give(int version) {
        giver_.apply({"config", text(version), version * 10});
    }
};

TEST(configuration_feed, host_that_knows_an_earlier_version_gets_a_small_answer) {
    give(1);
    taker_.apply({"config", text(1), 10});
    give(2);
    give(3);
    const configuration_answer answer = giver_.answer_for(taker_.revision());
    LONGS_EQUAL(10, answer.base);
    CHECK_TRUE(answer.body.size() < 200);
    CHECK_TRUE(taker_.apply_answer(answer));
    LONGS_EQUAL(3, taker_.current()->version());
    LONGS_EQUAL(30, taker_.revision());
    LONGS_EQUAL(0, giver_.answer_for(taker_.revision()).base);
}

TEST(configuration_feed, host_that_knows_nothing_gets_the_whole) {
    give(4);
    const configuration_answer answer = giver_.answer_for(0);
    LONGS_EQUAL(0, answer.base);
    CHECK_TRUE(taker_.apply_answer(answer));
    LONGS_EQUAL(4, taker_.current()->version());
}

TEST(configuration_feed, host_far_behind_gets_the_whole) {
    for (int version = 1; version < 20; ++version) {
        give(version);
    }
    LONGS_EQUAL(0, giver_.answer_for(10).base);
    LONGS_EQUAL(180, giver_.answer_for(180).revision - 10);
}

TEST(configuration_feed, delta_to_a_text_that_the_host_has_not_is_not_taken) {
    give(1);
    give(2);
    const configuration_answer answer = giver_.answer_for(10);
    CHECK_FALSE(taker_.apply_answer(answer));
    taker_.apply({"config", "1 {} {another text}", 10});
    CHECK_FALSE(taker_.apply_answer(answer));
    LONGS_EQUAL(1, taker_.current()->version());
    LONGS_EQUAL(2, log_.count("configuration_delta_unusable"));
}

#include "core/fleet/serving_policy.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace fuchsiaquay;
using std::chrono::milliseconds;

TEST_GROUP(serving_policy) {
    serving_settings settings_;

    static host_record host(const std::string& name, double processor_share) {
        host_record record;
        record.host = name;
        record.processor_share = processor_share;
        return record;
    }
    std::size_t required_hosts(std::size_t data_centres, double requests_per_s) {
        settings_.data_centres = data_centres;
        return serving_policy(settings_).required_hosts(requests_per_s);
    }
};

TEST(serving_policy, required_hosts_are_divided_among_data_centres) {
    LONGS_EQUAL(15, required_hosts(1, 0.0));
    LONGS_EQUAL(4, required_hosts(4, 0.0));
    LONGS_EQUAL(3, required_hosts(5, 0.0));
}

TEST(serving_policy, higher_load_requires_more_hosts) {
    LONGS_EQUAL(3, required_hosts(5, 3 * settings_.requests_per_host));
    LONGS_EQUAL(7, required_hosts(5, 6.5 * settings_.requests_per_host));
}

TEST(serving_policy, large_hosts_start_before_the_delay_of_small_ones_ends) {
    const serving_policy policy(settings_);
    for (int i = 0; i < 100; ++i) {
        const std::string name = "h" + std::to_string(i);
        CHECK_TRUE(policy.start_delay(host(name, 0.5)) <= milliseconds(600));
        CHECK_TRUE(policy.start_delay(host(name, 0.12)) >= milliseconds(1'200));
    }
}

TEST(serving_policy, host_with_larger_processor_share_is_preferred) {
    CHECK_TRUE(serving_policy::is_preferred(host("b", 0.5), host("a", 0.12)));
    CHECK_FALSE(serving_policy::is_preferred(host("a", 0.12), host("b", 0.5)));
    CHECK_TRUE(serving_policy::is_preferred(host("a", 0.5), host("b", 0.5)) !=
               serving_policy::is_preferred(host("b", 0.5), host("a", 0.5)));
}

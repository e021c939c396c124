#include "core/fleet/fleet_configuration.hpp"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>

using namespace fuchsiaquay;

namespace {

route make_route(const std::string& prefix, const std::string& service) {
    route result;
    result.name = prefix;
    result.host = "Shop.example";
    result.prefix = prefix;
    result.services = {{service, 1.0}};
    return result;
}

}  // namespace

TEST_GROUP(fleet_configuration) {
    fleet_configuration configuration_{7, caller_limits(), true};

    void setup() override {
        configuration_.add_route(make_route("/a/", "one"));
        configuration_.add_route(make_route("/a/b/", "two"));
        configuration_.add_key("k1", {"kim", 2});
    }
};

TEST(fleet_configuration, longest_prefix_matches_independent_of_order) {
    STRCMP_EQUAL("/a/b/", configuration_.find_route("shop.example", "/a/b/c")->prefix.c_str());
    STRCMP_EQUAL("/a/", configuration_.find_route("shop.example", "/a/bc")->prefix.c_str());
}

TEST(fleet_configuration, host_comparison_ignores_case_and_port) {
    CHECK_TRUE(configuration_.find_route("SHOP.example:8080", "/a/x") != nullptr);
    CHECK_TRUE(configuration_.find_route("other.example", "/a/x") == nullptr);
}

TEST(fleet_configuration, path_without_trailing_slash_of_prefix_does_not_match) {
    CHECK_TRUE(configuration_.find_route("shop.example", "/a") == nullptr);
}

TEST(fleet_configuration, key_identifies_its_customer_and_unknown_keys_match_none) {
    STRCMP_EQUAL("kim", configuration_.find_customer("k1")->customer.c_str());
    LONGS_EQUAL(2, *configuration_.find_customer("k1")->rank);
    CHECK_TRUE(configuration_.find_customer("k2") == nullptr);
}

TEST(fleet_configuration, split_follows_weights_and_is_deterministic) {
    route split = make_route("/s/", "nine");
    split.services = {{"nine", 90}, {"one", 10}};
    std::map<std::string, int> counts;
    constexpr int requests = 10'000;
    for (int i = 0; i < requests; ++i) {
        const std::string id = "request-" + std::to_string(i);
        const std::string& service = choose_service(split, id);
        CHECK_TRUE(service == choose_service(split, id));
        ++counts[service];
    }
    CHECK_TRUE(counts["one"] > 850 && counts["one"] < 1'150);
}

TEST(fleet_configuration, accounts_compete_where_there_are_several_and_routes_differ_in_rank) {
    CHECK_FALSE(configuration_.accounts_compete_for("one"));
    route urgent = make_route("/u/", "one");
    urgent.rank = 1;
    configuration_.add_route(urgent);
    CHECK_FALSE(configuration_.accounts_compete_for("one"));
    configuration_.add_key("k2", {"kim", {}});
    CHECK_FALSE(configuration_.accounts_compete_for("one"));
    configuration_.add_key("k3", {"lee", {}});
    CHECK_TRUE(configuration_.accounts_compete_for("one"));
    CHECK_FALSE(configuration_.accounts_compete_for("two"));
}

#include "core/fleet/text_delta.hpp"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace fuchsiaquay;

TEST_GROUP(text_delta){
    /// A configuration with `routes` routes; `timeout` applies to the last one only.
    static std::string configuration(int version, int routes, int timeout){
        std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
for (int i = 0; i < routes; ++i) {
    const int value = i == routes - 1 ? timeout : 800;
    text += (i == 0 ? "" : ",") + std::string(R"({"host":"h)") + std::to_string(i) +
            R"(.example","prefix":"/p","timeout_ms":)" + std::to_string(value) + "}";
}
return text + "]}";
}
static void check_restores(const std::string& base, const std::string& target) {
    const auto restored = apply_text_delta(base, make_text_delta(base, target));
    CHECK_TRUE(restored.has_value());
    CHECK_EQUAL(target, *restored);
}
}
;

TEST(text_delta, delta_for_one_changed_route_is_small) {
    const std::string base = configuration(7, 3'000, 800);
    const std::string target = configuration(9, 3'000, 900);
    CHECK_TRUE(target.size() > 150'000);
    CHECK_TRUE(make_text_delta(base, target).size() < 500);
    check_restores(base, target);
}

TEST(text_delta, added_and_removed_routes_are_restored) {
    check_restores(configuration(1, 100, 800), configuration(2, 140, 700));
    check_restores(configuration(2, 140, 700), configuration(3, 20, 600));
}

TEST(text_delta, empty_texts_are_restored) {
    check_restores("", "");
    check_restores("", "{}");
    check_restores("{}", "");
}

TEST(text_delta, random_texts_are_restored) {
    std::mt19937 random(1);
    const auto random_text = [&random] {
        std::string text;
        for (auto length = random() % 60; length > 0; --length) {
            text += "ab}\n 1"[random() % 6];
        }
        return text;
    };
    for (int i = 0; i < 2'000; ++i) {
        check_restores(random_text(), random_text());
    }
}

TEST(text_delta, delta_for_another_base_is_rejected) {
    const std::string delta = make_text_delta(configuration(1, 50, 800), configuration(2, 50, 900));
    std::string another = configuration(1, 50, 800);
    another[another.find("h3.")] = 'g';
    CHECK_FALSE(apply_text_delta(another, delta).has_value());
    CHECK_FALSE(apply_text_delta("", delta).has_value());
}

TEST(text_delta, corrupted_delta_is_rejected) {
    const std::string base = configuration(1, 50, 800);
    const std::string delta = make_text_delta(base, configuration(2, 50, 900));
    for (std::size_t cut = 0; cut < delta.size(); ++cut) {
        CHECK_FALSE(apply_text_delta(base, delta.substr(0, cut)).has_value());
    }
    CHECK_FALSE(apply_text_delta(base, "5 1\ncopy 0 99999999999\n").has_value());
    CHECK_FALSE(apply_text_delta(base, "5 1\nadd 3\nabcdefgh").has_value());
    CHECK_FALSE(apply_text_delta(base, "5 1\nskip 3\nabc").has_value());
}

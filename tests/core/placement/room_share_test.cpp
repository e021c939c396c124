#include "core/placement/room_share.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace fuchsiaquay;
using std::chrono::milliseconds;

/// Fifteen hosts learn at the same moment that engines have room, after a burst of short prompts.
TEST_GROUP(room_share) {
    static constexpr std::size_t hosts = 15;

    static int placed_by_all(double room, instant now) {
        int total = 0;
        for (std::size_t host = 0; host < hosts; ++host) {
            const double draw = room_share_draw("host-" + std::to_string(host), now);
            std::size_t own = 0;
            while (room_share(hosts, own, draw).allows(room - static_cast<double>(own)) &&
                   own < 100) {
                ++own;
            }
            total += static_cast<int>(own);
        }
        return total;
    }
};

TEST(room_share, room_for_four_prompts_is_not_used_by_every_host) {
    int total = 0;
    constexpr int periods = 200;
    for (int period = 0; period < periods; ++period) {
        total += placed_by_all(4.0, instant(period * placement_news_time));
    }
    // Four places on average over the periods, with a tenth for the draws.
    CHECK_TRUE(total <= periods * 4.4);
    CHECK_TRUE(total >= periods * 3.6);
}

TEST(room_share, large_room_is_used_by_all_hosts_completely) {
    LONGS_EQUAL(300, placed_by_all(300.0, instant(milliseconds(1'000))));
}

TEST(room_share, only_host_uses_all_room) {
    CHECK_TRUE(room_share(1, 50, 0.9).allows(0.0));
    CHECK_TRUE(room_share().allows(0.0));
}

TEST(room_share, draw_of_a_host_changes_after_the_news_time_only) {
    const instant now(placement_news_time * 50);
    DOUBLES_EQUAL(room_share_draw("a", now), room_share_draw("a", now + placement_news_time / 2),
                  0.0);
    CHECK_TRUE(room_share_draw("a", now) != room_share_draw("a", now + placement_news_time));
    CHECK_TRUE(room_share_draw("a", now) != room_share_draw("b", now));
}

#include "core/relay/upstream_path.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace fuchsiaquay;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(upstream_path) {
    upstream_path path_;
    instant now_{seconds(100)};

    void setup() override {
        path_.set_upstreams(24);
    }
    static network_address upstream(int number) {
        return {"10.0.0." + std::to_string(number), 80};
    }
    /// Connections to upstreams from `first` to `last` fail, ten milliseconds apart.
    void fail(int first, int last) {
        for (int number = first; number <= last; ++number) {
            now_ += milliseconds(10);
            path_.on_failed(upstream(number), now_);
        }
    }
};

TEST(upstream_path, failures_of_several_upstreams_in_a_row_block_it) {
    fail(1, 2);
    CHECK_FALSE(path_.in_doubt(now_));
    fail(3, 5);
    CHECK_TRUE(path_.in_doubt(now_));
    CHECK_FALSE(path_.blocked());
    fail(6, 6);
    CHECK_TRUE(path_.blocked());
    CHECK_FALSE(path_.in_doubt(now_));
}

TEST(upstream_path, established_connection_frees_it) {
    fail(1, 6);
    path_.on_connected();
    CHECK_FALSE(path_.blocked());
    fail(1, 5);
    path_.on_connected();
    fail(6, 9);
    CHECK_FALSE(path_.blocked());
}

TEST(upstream_path, one_upstream_that_fails_repeatedly_says_nothing_about_it) {
    for (int i = 0; i < 20; ++i) {
        fail(1, 2);
    }
    CHECK_FALSE(path_.in_doubt(now_));
    CHECK_TRUE(path_.failed(upstream(1), now_));
    CHECK_FALSE(path_.failed(upstream(3), now_));
}

TEST(upstream_path, failures_of_long_ago_do_not_count) {
    fail(1, 5);
    now_ += seconds(4);
    CHECK_FALSE(path_.in_doubt(now_));
    fail(6, 7);
    CHECK_FALSE(path_.blocked());
    CHECK_FALSE(path_.failed(upstream(1), now_));
}

TEST(upstream_path, few_upstreams_block_it_once_all_fail) {
    path_.set_upstreams(3);
    fail(1, 2);
    CHECK_FALSE(path_.blocked());
    fail(3, 3);
    CHECK_TRUE(path_.blocked());
}

TEST(upstream_path, no_listed_upstream_is_no_blocked_path) {
    path_.set_upstreams(0);
    fail(1, 9);
    CHECK_FALSE(path_.blocked());
    CHECK_FALSE(path_.in_doubt(now_));
}

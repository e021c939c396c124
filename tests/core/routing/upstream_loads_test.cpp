#include "core/routing/upstream_loads.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaquay;

TEST_GROUP(upstream_loads) {
    upstream_loads loads_{10'000.0};
    instant now_{};
};

TEST(upstream_loads, queued_work_decreases_over_time_short_prompts_first) {
    loads_.add_upstream(upstream_id("e"), 1000);
    reserve_reply reply;
    reply.upstream = upstream_id("e");
    reply.queued_prefill_tokens = 30'000;
    reply.queued_long_tokens = 20'000;
    loads_.observe(reply, now_);
    const routing_candidate later =
        loads_.candidate(upstream_id("e"), now_ + std::chrono::seconds(2));
    DOUBLES_EQUAL(0.0, later.queued_short_tokens, 1.0);
    DOUBLES_EQUAL(10'000.0, later.queued_long_tokens, 1.0);
}

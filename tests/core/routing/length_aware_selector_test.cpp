#include "core/routing/length_aware_selector.hpp"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "core/routing/affinity_load_selector.hpp"

using namespace fuchsiaquay;

TEST_GROUP(length_aware_selector) {
    length_aware_settings settings_;
    std::vector<routing_candidate> candidates_;

    void setup() override {
        for (int i = 0; i < 6; ++i) {
            routing_candidate candidate;
            candidate.upstream = upstream_id("engine-" + std::to_string(i));
            candidate.memory_tokens = 400'000;
            candidate.free_memory_tokens = 400'000;
            candidates_.push_back(candidate);
        }
    }

    static routing_request make_request(const std::string& id, std::int64_t prompt) {
        routing_request request;
        request.request = request_id(id);
        request.prompt_tokens = prompt;
        request.memory_tokens = prompt + 200;
        return request;
    }

    upstream_id best(const routing_request& request) const {
        length_aware_selector selector(settings_);
        return selector.order(request, candidates_, instant{}).front().upstream;
    }
};

TEST(length_aware_selector, long_prompts_share_one_upstream_until_it_is_busy) {
    const upstream_id first = best(make_request("a", 150'000));
    CHECK_TRUE(first == best(make_request("b", 150'000)));
    for (routing_candidate& candidate : candidates_) {
        if (candidate.upstream == first) {
            candidate.queued_long_tokens = 150'000;
        }
    }
    const upstream_id second = best(make_request("c", 150'000));
    CHECK_TRUE(second != first);
    CHECK_TRUE(second == best(make_request("d", 150'000)));
}

TEST(length_aware_selector, short_prompt_avoids_upstreams_with_long_prefills) {
    for (std::size_t i = 1; i < candidates_.size(); ++i) {
        candidates_[i].long_prefill_frequency = 1.0;
    }
    for (int i = 0; i < 20; ++i) {
        CHECK_TRUE(best(make_request(std::to_string(i), 2000)) == candidates_[0].upstream);
    }
}

TEST(length_aware_selector, long_backlog_does_not_affect_short_prompt) {
    candidates_[2].queued_long_tokens = 300'000;
    for (std::size_t i = 0; i < candidates_.size(); ++i) {
        candidates_[i].queued_short_tokens = i == 2 ? 0.0 : 3000.0;
    }
    CHECK_TRUE(best(make_request("a", 2000)) == candidates_[2].upstream);
}

TEST(length_aware_selector, requests_are_spread_over_equal_upstreams) {
    std::vector<int> chosen(6, 0);
    for (int i = 0; i < 100; ++i) {
        ++chosen.at(static_cast<std::size_t>(
            best(make_request(std::to_string(i), 2000)).value().back() - '0'));
    }
    for (const int count : chosen) {
        CHECK_TRUE(count > 5);
    }
}

TEST(length_aware_selector, cached_prefix_is_preferred_only_while_not_busy) {
    candidates_[3].cached_tokens = 4000;
    CHECK_TRUE(best(make_request("a", 6000)) == candidates_[3].upstream);
    candidates_[3].queued_short_tokens = 3900;
    CHECK_TRUE(best(make_request("a", 6000)) != candidates_[3].upstream);
    // The baseline without length awareness keeps sending requests to the busy upstream.
    affinity_load_selector baseline;
    CHECK_TRUE(baseline.order(make_request("a", 6000), candidates_, instant{}).front().upstream ==
               candidates_[3].upstream);
}

#include "core/placement/interference_aware_placement.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/hashing/hash.hpp"
#include "core/placement/engine_load.hpp"
#include "core/placement/engine_work.hpp"
#include "core/placement/pass_timing.hpp"
#include "core/placement/placement_request.hpp"
#include "tests/core/placement/engine_profiles.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr duration short_gap = milliseconds(200);
constexpr duration long_gap = milliseconds(800);
constexpr std::int64_t short_prompt = 5'000;
constexpr std::int64_t medium_prompt = 45'000;
constexpr std::int64_t long_prompt = 210'000;

placement_request prompt(std::uint64_t key, std::int64_t tokens, duration target, duration gap) {
    placement_request request;
    request.key = key;
    request.prompt_tokens = tokens;
    request.answer_tokens = 1'500;
    request.first_event_time_left = target;
    request.time_left = seconds(10);
    request.target_gap = gap;
    return request;
}

placement_request short_request(std::uint64_t key) {
    return prompt(key, short_prompt, milliseconds(250), short_gap);
}

placement_request long_request(std::uint64_t key, std::int64_t tokens = long_prompt) {
    return prompt(key, tokens, seconds(6), long_gap);
}

}  // namespace

TEST_GROUP(interference_aware_placement) {
    static constexpr int engines = 14;
    engine_profile profile_ = wide_engine_profile();
    std::map<std::string, engine_load> loads_;
    std::map<std::string, double> slowdowns_;
    interference_aware_placement policy_;
    instant now_ = instant(seconds(100));

    void setup() override {
        for (int i = 0; i < engines; ++i) {
            loads_["engine-" + std::to_string(i)];
        }
    }

    std::vector<engine_view> views() const {
        std::vector<engine_view> result;
        for (const auto& [id, load] : loads_) {
            const auto slowdown = slowdowns_.find(id);
            result.push_back(
                {id, &profile_, &load, slowdown == slowdowns_.end() ? 1.0 : slowdown->second});
        }
        return result;
    }

    placement_decision choose(const placement_request& request) const {
        return policy_.choose(request, views(), now_);
    }

    void add(const std::string& engine, const placement_request& request, work_phase phase) {
        engine_work work;
        work.key = request.key;
        work.engine = engine;
        work.phase = phase;
        work.prefill_tokens = request.prompt_tokens;
        work.prefill_time = prefill_time(profile_, request.prompt_tokens);
        work.memory_tokens = request.prompt_tokens + request.answer_tokens;
        work.target_gap = request.target_gap;
        work.dispatched_at = now_;
        loads_[engine].apply("host", work);
    }

    /// Places `count` short prompts whose streams are in the decode phase from then on.
    void fill_with_short(int count) {
        for (int i = 0; i < count; ++i) {
            const placement_request request = short_request(static_cast<std::uint64_t>(i) + 1);
            const placement_decision decision = choose(request);
            CHECK_TRUE(decision.outcome == placement_decision::verdict::place);
            add(decision.engine, request, work_phase::decode);
        }
    }

    int engines_with_requests() const {
        return static_cast<int>(std::count_if(loads_.begin(), loads_.end(), [](const auto& item) {
            return item.second.requests() > 0;
        }));
    }
};

TEST(interference_aware_placement, usual_short_load_leaves_half_of_the_engines_for_long_prompts) {
    // Corresponds to 30.7 prompts per second with two seconds of output each.
    fill_with_short(60);
    CHECK_TRUE(engines_with_requests() <= engines / 2);
}

TEST(interference_aware_placement, concurrent_short_prompts_are_spread_over_shared_engines) {
    fill_with_short(60);
    std::set<std::string> chosen;
    for (std::uint64_t key = 1'000; key < 1'040; ++key) {
        chosen.insert(choose(short_request(key)).engine);
    }
    CHECK_TRUE(chosen.size() >= 2);
}

TEST(interference_aware_placement,
     hosts_without_announcements_spread_short_prompts_over_all_engines) {
    // Each host places the requests that waited for its start, without announcements of the others.
    std::map<std::string, int> taken;
    constexpr int waiting = 60;
    for (std::uint64_t key = 1'000; key < 1'000 + waiting; ++key) {
        placement_request request = short_request(key);
        request.all_work_known = false;
        ++taken[choose(request).engine];
    }
    CHECK_TRUE(taken.size() >= loads_.size() - 1);
    for (const auto& [engine, count] : taken) {
        CHECK_TRUE(count <= wide_engine_profile().slots);
    }
}

TEST(interference_aware_placement,
     burst_of_short_prompts_uses_more_engines_before_targets_are_missed) {
    // Start of a burst: prompts arrive faster than earlier ones end, and none is in decode yet.
    fill_with_short(30);
    constexpr int burst = 30;
    for (std::uint64_t key = 1'000; key < 1'000 + burst; ++key) {
        const placement_request request = short_request(key);
        const placement_decision decision = choose(request);
        CHECK_TRUE(decision.outcome == placement_decision::verdict::place);
        CHECK_TRUE(decision.time_to_first_event <= request.first_event_time_left * 2 / 3);
        add(decision.engine, request, work_phase::prefill);
    }
    CHECK_TRUE(engines_with_requests() < engines);
}

TEST(interference_aware_placement, unanswered_short_prompts_of_one_pass_do_not_overload_an_engine) {
    // An engine processes the prompts that arrive during a pass in the next pass and answers all of
    // them at its end.
    constexpr int prompts = 24;
    for (std::uint64_t key = 1'000; key < 1'000 + prompts; ++key) {
        const placement_request request = short_request(key);
        const placement_decision decision = choose(request);
        CHECK_TRUE(decision.outcome == placement_decision::verdict::place);
        add(decision.engine, request, work_phase::prefill);
        now_ += milliseconds(10);
    }
    for (const auto& [engine, load] : loads_) {
        const duration pass = decode_pass_time(profile_, load.requests(), 0);
        const duration prefill = load.requests() * prefill_time(profile_, short_prompt);
        CHECK_TRUE(pass + prefill <= milliseconds(250) - pass);
    }
}

TEST(interference_aware_placement, largest_short_prompts_use_no_engines_of_long_prompts) {
    fill_with_short(60);
    const int busy = engines_with_requests();
    for (std::uint64_t key = 1'000; key < 1'010; ++key) {
        const placement_request large = prompt(key, 22'000, milliseconds(250), short_gap);
        const placement_decision decision = choose(large);
        CHECK_TRUE(decision.outcome == placement_decision::verdict::place);
        add(decision.engine, large, work_phase::decode);
    }
    CHECK_TRUE(engines_with_requests() <= busy + 1);
}

TEST(interference_aware_placement, usual_short_prompts_are_not_split_during_other_prefills) {
    fill_with_short(60);
    for (std::uint64_t key = 1'000; key < 1'060; ++key) {
        const placement_request request = short_request(key);
        const placement_decision decision = choose(request);
        if (decision.outcome == placement_decision::verdict::place) {
            CHECK_TRUE(decision.helpers.empty());
            add(decision.engine, request, work_phase::prefill);
        }
    }
}

TEST(interference_aware_placement, late_short_prompts_use_no_engines_of_long_prompts) {
    fill_with_short(60);
    for (std::uint64_t key = 1'000; key < 1'020; ++key) {
        placement_request late = short_request(key);
        late.first_event_time_left = milliseconds(-1'000);
        const placement_decision decision = choose(late);
        CHECK_TRUE(decision.outcome == placement_decision::verdict::place);
        add(decision.engine, late, work_phase::prefill);
    }
    CHECK_TRUE(engines_with_requests() <= engines / 2);
}

TEST(interference_aware_placement, reason_tells_a_caller_that_leaves_from_a_deadline) {
    for (const auto& [id, load] : loads_) {
        add(id, prompt(900, 200'000, seconds(6), seconds(5)), work_phase::prefill);
    }
    placement_request request = short_request(1);
    request.abandon_time_left = seconds(2);
    const placement_decision leaves = choose(request);
    CHECK_TRUE(leaves.outcome == placement_decision::verdict::wait);
    STRCMP_EQUAL("no engine before the caller leaves", leaves.reason);
    CHECK_TRUE(leaves.time_to_first_event > seconds(2));
    request.abandon_time_left = seconds(5);
    request.time_left = seconds(1);
    STRCMP_EQUAL("not enough time left", choose(request).reason);
}

TEST(interference_aware_placement,
     short_prompts_share_one_more_engine_when_first_engines_are_in_prefill) {
    std::vector<std::string> order;
    for (const auto& [id, load] : loads_) {
        order.push_back(id);
    }
    std::sort(order.begin(), order.end(), [](const std::string& a, const std::string& b) {
        return stable_hash(a) < stable_hash(b);
    });
    // A short prompt would be late on the first five engines. The last engine has a short stream.
    for (std::size_t i = 0; i < 5; ++i) {
        add(order[i], prompt(900, 40'000, milliseconds(250), short_gap), work_phase::prefill);
    }
    add(order.back(), short_request(901), work_phase::decode);
    for (std::uint64_t key = 1'000; key < 1'004; ++key) {
        const placement_request request = short_request(key);
        const placement_decision decision = choose(request);
        CHECK_EQUAL(order.back(), decision.engine);
        add(decision.engine, request, work_phase::decode);
    }
}

TEST(interference_aware_placement, short_prompt_is_not_placed_where_its_caller_would_abandon_it) {
    // Every engine processes a part of a prompt that another engine answers, and has no streams.
    for (const auto& [id, load] : loads_) {
        placement_request part = long_request(50);
        part.target_gap = {};
        add(id, part, work_phase::prefill);
    }
    placement_request request = short_request(1);
    request.abandon_time_left = seconds(2);
    CHECK_TRUE(choose(request).outcome == placement_decision::verdict::wait);
    request.abandon_time_left = seconds(4);
    CHECK_TRUE(choose(request).outcome == placement_decision::verdict::place);
}

TEST(interference_aware_placement, long_prompt_does_not_lengthen_passes_of_short_streams) {
    fill_with_short(60);
    for (std::uint64_t key = 100; key < 106; ++key) {
        const placement_request request = long_request(key);
        const placement_decision decision = choose(request);
        CHECK_TRUE(decision.outcome == placement_decision::verdict::place);
        CHECK_TRUE(loads_[decision.engine].min_target_gap() > short_gap);
        add(decision.engine, request, work_phase::prefill);
    }
}

TEST(interference_aware_placement, short_prompt_avoids_engines_with_a_long_prefill) {
    std::set<std::string> in_prefill;
    for (std::uint64_t key = 100; key < 108; ++key) {
        const placement_request request = long_request(key);
        const placement_decision decision = choose(request);
        in_prefill.insert(decision.engine);
        add(decision.engine, request, work_phase::prefill);
    }
    for (std::uint64_t key = 1; key < 40; ++key) {
        const placement_request request = short_request(key);
        const placement_decision decision = choose(request);
        CHECK_TRUE(decision.outcome == placement_decision::verdict::place);
        LONGS_EQUAL(0, in_prefill.count(decision.engine));
        add(decision.engine, request, work_phase::decode);
    }
}

TEST(interference_aware_placement, medium_prompts_share_an_engine_when_no_stream_is_delayed) {
    // As many short prompts as leave no engine to spread over.
    fill_with_short(106);
    const placement_request first =
        prompt(1, medium_prompt, milliseconds(1'500), milliseconds(500));
    const placement_decision decision = choose(first);
    add(decision.engine, first, work_phase::decode);
    const placement_request second =
        prompt(2, medium_prompt, milliseconds(1'500), milliseconds(500));
    CHECK_EQUAL(decision.engine, choose(second).engine);
}

TEST(interference_aware_placement, prompt_that_would_be_late_on_one_engine_is_split) {
    const placement_decision decision = choose(long_request(1, 420'000));
    CHECK_TRUE(decision.outcome == placement_decision::verdict::place);
    CHECK_TRUE(!decision.helpers.empty());
    CHECK_TRUE(decision.time_to_first_event < seconds(6));
    std::set<std::string> members = {decision.engine};
    for (const placement_part& part : decision.helpers) {
        CHECK_TRUE(members.insert(part.engine).second);
        LONGS_EQUAL(0, part.reserved_tokens);
    }
}

TEST(interference_aware_placement, long_prompt_is_spread_over_engines_that_short_prompts_leave) {
    // Few long prompts among usual short ones: the idle engines shorten the prefill. A shorter
    // answer also loses less when hosts or engines fail.
    fill_with_short(61);
    const placement_decision decision = choose(long_request(1'000));
    CHECK_TRUE(decision.outcome == placement_decision::verdict::place);
    CHECK_TRUE(decision.helpers.size() >= 2);
    CHECK_TRUE(loads_[decision.engine].empty());
    for (const placement_part& part : decision.helpers) {
        CHECK_TRUE(loads_[part.engine].empty());
    }
    CHECK_TRUE(decision.time_to_first_event < prefill_time(profile_, long_prompt) / 2);
}

TEST(interference_aware_placement, spread_prompt_leaves_engines_for_a_burst_of_short_prompts) {
    fill_with_short(61);
    const placement_request request = long_request(1'000);
    const placement_decision decision = choose(request);
    add(decision.engine, request, work_phase::prefill);
    for (const placement_part& part : decision.helpers) {
        add(part.engine, request, work_phase::prefill);
    }
    // A third more short prompts than before find engines without a long prefill.
    for (std::uint64_t key = 2'000; key < 2'020; ++key) {
        const placement_request next = short_request(key);
        const placement_decision placed = choose(next);
        CHECK_TRUE(placed.outcome == placement_decision::verdict::place);
        CHECK_TRUE(placed.time_to_first_event < milliseconds(250));
        add(placed.engine, next, work_phase::decode);
    }
}

TEST(interference_aware_placement, long_prompts_that_wait_are_not_spread) {
    // A burst of long prompts: each engine is needed by a prompt of its own.
    placement_request request = long_request(1'000);
    request.tokens_ahead = {long_prompt};
    CHECK_TRUE(choose(request).helpers.empty());
}

TEST(interference_aware_placement, prompt_larger_than_one_engine_is_reserved_completely) {
    const std::int64_t tokens = 970'265;
    const placement_decision decision = choose(long_request(1, tokens));
    CHECK_TRUE(decision.outcome == placement_decision::verdict::place);
    std::int64_t reserved = decision.reserved_tokens;
    for (const placement_part& part : decision.helpers) {
        CHECK_TRUE(part.reserved_tokens > 0 && part.reserved_tokens < profile_.memory_tokens);
        reserved += part.reserved_tokens;
    }
    LONGS_EQUAL(tokens, reserved);
}

TEST(interference_aware_placement, prompt_larger_than_all_memory_is_refused_immediately) {
    const placement_decision decision = choose(long_request(1, 14 * 450'000));
    CHECK_TRUE(decision.outcome == placement_decision::verdict::refuse);
}

TEST(interference_aware_placement, waiting_prompt_leaves_engines_for_prompts_ahead) {
    // Two engines are idle. All others process long prompts.
    auto engine = loads_.begin();
    for (int i = 0; i < engines - 2; ++i, ++engine) {
        add(engine->first, long_request(static_cast<std::uint64_t>(i) + 10), work_phase::prefill);
    }
    placement_request third = long_request(1);
    third.tokens_ahead = {long_prompt, long_prompt};
    CHECK_TRUE(choose(third).outcome == placement_decision::verdict::wait);
    placement_request second = long_request(1);
    second.tokens_ahead = {long_prompt};
    placement_request first = long_request(1);
    const placement_decision first_choice = choose(first);
    const placement_decision second_choice = choose(second);
    CHECK_TRUE(first_choice.outcome == placement_decision::verdict::place);
    CHECK_TRUE(second_choice.outcome == placement_decision::verdict::place);
}

TEST(interference_aware_placement, waiting_prompt_leaves_all_engines_that_a_prompt_ahead_needs) {
    // Two engines are idle, and the prompt ahead needs both.
    auto engine = loads_.begin();
    for (int i = 0; i < engines - 2; ++i, ++engine) {
        add(engine->first, long_request(static_cast<std::uint64_t>(i) + 10), work_phase::prefill);
    }
    placement_request behind = long_request(1);
    behind.tokens_ahead = {500'000};
    CHECK_TRUE(choose(behind).outcome == placement_decision::verdict::wait);
    placement_request ahead = long_request(2, 500'000);
    ahead.first_event_time_left = seconds(8);
    const placement_decision decision = choose(ahead);
    CHECK_TRUE(decision.outcome == placement_decision::verdict::place);
    LONGS_EQUAL(1, decision.helpers.size());
}

TEST(interference_aware_placement, long_prompt_that_misses_its_deadline_is_refused_immediately) {
    for (const auto& [id, load] : loads_) {
        add(id, long_request(50, 420'000), work_phase::prefill);
    }
    placement_request request = long_request(1);
    request.time_left = seconds(4);
    const placement_decision refused = choose(request);
    CHECK_TRUE(refused.outcome == placement_decision::verdict::refuse);
    CHECK_TRUE(refused.retry_after > seconds(1));
    request.time_left = seconds(15);
    const placement_decision later = choose(request);
    CHECK_TRUE(later.outcome == placement_decision::verdict::wait);
    CHECK_TRUE(later.answer_expected);
}

TEST(interference_aware_placement, very_long_prompt_waits_no_longer_than_forecast) {
    for (const auto& [id, load] : loads_) {
        add(id, long_request(50), work_phase::prefill);
    }
    placement_request very_long = long_request(1, 600'000);
    very_long.time_left = seconds(15);
    const placement_decision decision = choose(very_long);
    CHECK_TRUE(decision.outcome == placement_decision::verdict::wait);
    CHECK_TRUE(decision.max_wait >= seconds(2) && decision.max_wait < seconds(5));
    placement_request usual = long_request(2);
    usual.time_left = seconds(15);
    CHECK_TRUE(choose(usual).max_wait == duration::max());
}

TEST(interference_aware_placement, long_prompt_behind_a_long_queue_is_refused_immediately) {
    for (const auto& [id, load] : loads_) {
        add(id, long_request(50), work_phase::prefill);
    }
    placement_request request = long_request(1);
    request.tokens_ahead = std::vector<std::int64_t>(60, long_prompt);
    CHECK_TRUE(choose(request).outcome == placement_decision::verdict::refuse);
}

TEST(interference_aware_placement, late_long_prompt_is_placed_on_idle_engine_only) {
    placement_request late = long_request(1);
    late.first_event_time_left = milliseconds(-500);
    CHECK_TRUE(choose(late).outcome == placement_decision::verdict::place);
    for (auto& [id, load] : loads_) {
        add(id, long_request(50), work_phase::prefill);
    }
    CHECK_TRUE(choose(late).outcome == placement_decision::verdict::wait);
}

TEST(interference_aware_placement, short_prompts_avoid_an_engine_that_fell_silent) {
    // The engine accepts connections and answers nothing. All hosts know which prompts have no
    // first event, so that none of them has to wait for time-outs of its own.
    fill_with_short(20);
    const placement_decision first = choose(short_request(100));
    add(first.engine, short_request(100), work_phase::prefill);
    now_ += milliseconds(700);
    for (std::uint64_t key = 200; key < 240; ++key) {
        CHECK_TRUE(choose(short_request(key)).engine != first.engine);
    }
}

TEST(interference_aware_placement, short_prompts_avoid_slow_engine) {
    fill_with_short(60);
    const std::string slow = choose(short_request(500)).engine;
    slowdowns_[slow] = 4.0;
    for (std::uint64_t key = 1'000; key < 1'020; ++key) {
        const placement_decision decision = choose(short_request(key));
        CHECK_TRUE(decision.outcome == placement_decision::verdict::place);
        CHECK_TRUE(decision.engine != slow);
    }
}

TEST(interference_aware_placement, slow_engines_are_used_if_there_are_no_others) {
    for (const auto& [id, load] : loads_) {
        slowdowns_[id] = 4.0;
    }
    CHECK_TRUE(choose(short_request(1)).outcome == placement_decision::verdict::place);
}

TEST(interference_aware_placement, long_prompt_avoids_slow_engines) {
    auto engine = loads_.begin();
    for (int i = 0; i < engines - 1; ++i, ++engine) {
        slowdowns_[engine->first] = 4.0;
    }
    CHECK_EQUAL(engine->first, choose(long_request(1)).engine);
}

TEST(interference_aware_placement, excluded_engine_is_not_chosen_again) {
    placement_request request = short_request(1);
    const std::string first = choose(request).engine;
    request.excluded_engines = {first};
    CHECK_TRUE(choose(request).engine != first);
}

#include "ctl/emulation/engine_model.hpp"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace fuchsiaquay;

TEST_GROUP(engine_model) {
    engine_settings settings_;
    instant start_{};

    static stream_request make_request(const std::string& id, std::int64_t prompt,
                                       std::int64_t output, int priority = 0) {
        stream_request request;
        request.stream_id = id;
        request.prompt_tokens = prompt;
        request.max_tokens = output;
        request.priority = priority;
        return request;
    }

    static instant first_token(const std::vector<engine_event>& events, const std::string& id) {
        for (const engine_event& event : events) {
            if (event.type == engine_event::kind::token && event.stream_id == id) {
                return event.time;
            }
        }
        return instant::max();
    }
};

TEST(engine_model, stream_reports_every_token_once_and_frees_memory) {
    engine_model engine(settings_);
    CHECK_TRUE(engine.submit(make_request("a", 1000, 5), start_) == submit_result::accepted);
    LONGS_EQUAL(settings_.memory_tokens - 1005, engine.free_memory_tokens());
    const std::vector<engine_event> events = engine.advance(start_ + std::chrono::seconds(5));
    LONGS_EQUAL(6, events.size());
    for (int i = 0; i < 5; ++i) {
        LONGS_EQUAL(i, events[static_cast<std::size_t>(i)].offset);
    }
    CHECK_TRUE(events.back().type == engine_event::kind::finished);
    LONGS_EQUAL(settings_.memory_tokens, engine.free_memory_tokens());
    CHECK_TRUE(engine.next_event() == instant::max());
}

TEST(engine_model, urgent_prompt_overtakes_long_prefill_at_the_next_step) {
    engine_model engine(settings_);
    engine.submit(make_request("long", 100'000, 10, 5), start_);
    engine.submit(make_request("short", 400, 10, 0), start_);
    const auto events = engine.advance(start_ + std::chrono::seconds(1));
    CHECK_TRUE(first_token(events, "short") <= start_ + 2 * std::chrono::milliseconds(27));
    CHECK_TRUE(first_token(events, "long") == instant::max());
}

TEST(engine_model, equal_priority_waits_behind_long_prefill) {
    engine_model engine(settings_);
    engine.submit(make_request("long", 100'000, 10, 0), start_);
    engine.submit(make_request("short", 400, 10, 0), start_);
    const auto events = engine.advance(start_ + std::chrono::seconds(1));
    CHECK_TRUE(first_token(events, "short") == instant::max());
}

TEST(engine_model, full_memory_refuses_and_cancel_frees) {
    engine_model engine(settings_);
    engine.submit(make_request("a", settings_.memory_tokens - 10, 10), start_);
    CHECK_TRUE(engine.submit(make_request("b", 1, 1), start_) == submit_result::out_of_memory);
    CHECK_TRUE(engine.submit(make_request("a", 1, 1), start_) == submit_result::duplicate);
    CHECK_TRUE(engine.cancel("a", start_));
    CHECK_FALSE(engine.cancel("a", start_));
    CHECK_TRUE(engine.submit(make_request("b", 1, 1), start_) == submit_result::accepted);
}

TEST(engine_model, resumed_stream_reports_from_its_offset) {
    engine_model engine(settings_);
    engine.submit(make_request("a", 1000, 8), start_);
    stream_request again = make_request("a", 1000, 8);
    again.resume_from = 6;
    CHECK_TRUE(engine.submit(again, start_) == submit_result::accepted);
    const auto events = engine.advance(start_ + std::chrono::seconds(5));
    LONGS_EQUAL(3, events.size());
    LONGS_EQUAL(6, events[0].offset);
    LONGS_EQUAL(settings_.memory_tokens, engine.free_memory_tokens());
}

TEST(engine_model, repeated_prefix_saves_prefill) {
    engine_model engine(settings_);
    stream_request first = make_request("a", 3000, 1);
    first.prefix_hashes = {11, 12};
    engine.submit(first, start_);
    engine.advance(start_ + std::chrono::seconds(1));
    first.stream_id = "b";
    engine.submit(first, start_ + std::chrono::seconds(1));
    const auto events = engine.advance(start_ + std::chrono::seconds(2));
    LONGS_EQUAL(2 * cache_block_tokens, events.back().cached_tokens);
}

TEST(engine_model, cache_events_come_late_and_with_gaps) {
    settings_.cache_event_loss = 0.5;
    engine_model engine(settings_, 3);
    stream_request request = make_request("a", 100 * cache_block_tokens, 1);
    for (std::uint64_t i = 1; i <= 100; ++i) {
        request.prefix_hashes.push_back(i);
    }
    engine.submit(request, start_);
    const instant done = engine.advance(start_ + std::chrono::seconds(20)).back().time;
    LONGS_EQUAL(0, engine.cache_events(0, done).size());
    const std::size_t seen = engine.cache_events(0, done + settings_.cache_event_delay).size();
    CHECK_TRUE(seen > 0 && seen < 100);
}

TEST(engine_model, load_lags) {
    engine_model engine(settings_);
    engine.submit(make_request("a", 50'000, 1), start_);
    engine.advance(start_ + settings_.load_lag / 2);
    LONGS_EQUAL(0, engine.load(start_ + settings_.load_lag / 2).queued_prefill_tokens);
    engine.advance(start_ + settings_.load_lag);
    LONGS_EQUAL(50'000, engine.load(start_ + settings_.load_lag).queued_prefill_tokens);
}

TEST(engine_model, held_kv_is_exported_and_spares_memory_elsewhere) {
    engine_model first(settings_);
    engine_model second(settings_);
    stream_request part = make_request("g-1", 300'000, 0);
    part.hold = true;
    first.submit(part, start_);
    CHECK_FALSE(first.export_kv("g-1").has_value());
    const instant later = start_ + std::chrono::seconds(60);
    CHECK_TRUE(first.advance(later).back().type == engine_event::kind::held);
    LONGS_EQUAL(300'000, first.export_kv("g-1")->tokens);
    stream_request whole = make_request("g-2", 600'000, 100);
    whole.remote_tokens = 300'000;
    CHECK_TRUE(second.submit(whole, later) == submit_result::accepted);
    LONGS_EQUAL(settings_.memory_tokens - 300'100, second.free_memory_tokens());
    engine_model third(settings_);
    CHECK_TRUE(third.import_kv("g-1", *first.export_kv("g-1"), later) == submit_result::accepted);
    LONGS_EQUAL(settings_.memory_tokens - 300'000, third.free_memory_tokens());
}

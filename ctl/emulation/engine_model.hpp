#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "core/time/clock.hpp"
#include "ctl/emulation/cache_event.hpp"
#include "ctl/emulation/engine_event.hpp"
#include "ctl/emulation/engine_load.hpp"
#include "ctl/emulation/engine_settings.hpp"
#include "ctl/emulation/kv_part.hpp"
#include "ctl/emulation/prefix_cache.hpp"
#include "ctl/emulation/stream_request.hpp"
#include "ctl/emulation/stream_status.hpp"
#include "ctl/emulation/submit_result.hpp"

namespace fuchsiaquay {

/// Simulates a model engine with continuous batching in virtual time: chunked prefill shares each
/// step with the decoding streams, memory is limited, and prefill is ordered by priority, then by
/// arrival. Memory for prompt and answer is reserved at submission and freed when the stream ends.
///
/// Call `advance` with the current time before any other member; a real-time user calls it at
/// `next_event()`.
class engine_model {
public:
    explicit engine_model(const engine_settings& settings, std::uint64_t seed = 0);

    /// Adds a stream. An id that already exists is a duplicate, unless `resume_from` is above 0:
    /// then the new stream replaces the existing one.
    submit_result submit(const stream_request& request, instant now);
    /// Ends a stream and frees its memory. False when there is no such stream.
    bool cancel(const std::string& stream_id, instant now);
    /// Runs all steps that end by `now`.
    std::vector<engine_event> advance(instant now);
    /// End of the current step; `instant::max()` when the engine is idle.
    instant next_event() const noexcept;

    std::vector<stream_status> streams() const;
    /// The load as it was one `load_lag` ago.
    engine_load load(instant now) const;
    std::vector<cache_event> cache_events(std::uint64_t after, instant now) const;
    std::int64_t free_memory_tokens() const noexcept;
    const engine_settings& settings() const noexcept { return settings_; }

    /// KV cache of a stream whose prefill is complete; the stream keeps its memory until cancelled.
    std::optional<kv_part> export_kv(const std::string& stream_id) const;
    /// Stores an exported KV cache as the held stream `stream_id`.
    submit_result import_kv(const std::string& stream_id, const kv_part& part, instant now);

private:
    struct stream {
        stream_request request;
        std::uint64_t arrival = 0;
        std::int64_t memory_tokens = 0;
        std::int64_t prefill_left = 0;
        std::int64_t cached_tokens = 0;
        std::int64_t generated = 0;
        std::int64_t chunk = 0;  // prefill tokens in the current step
        bool decoding = false;   // takes one decode token in the current step
        bool running = false;
    };
    struct load_sample {
        instant at{};
        engine_load load;
    };

    stream* find(const std::string& stream_id);
    const stream* find(const std::string& stream_id) const;
    void insert(stream added);
    void start_step(instant now);
    void end_step(std::vector<engine_event>& events);
    bool advance_stream(stream& current, std::vector<engine_event>& events);
    void report_token(stream& current, std::vector<engine_event>& events) const;
    void take_load_sample(instant now);
    engine_load current_load() const;

    engine_settings settings_;
    prefix_cache cache_;
    std::vector<stream> streams_;  // by priority, then arrival
    std::deque<load_sample> samples_;
    std::uint64_t arrivals_ = 0;
    std::int64_t used_tokens_ = 0;
    bool in_step_ = false;
    instant step_end_{};
};

}  // namespace fuchsiaquay

#include "core/placement/pass_timing.hpp"

#include <algorithm>

#include "core/fleet/engine_profile.hpp"

namespace fuchsiaquay {

namespace {

constexpr double milliseconds_per_second = 1e3;
constexpr double tokens_per_k = 1e3;
constexpr double pairs_per_million = 1e6;

duration from_milliseconds(double milliseconds) {
    return from_seconds(milliseconds / milliseconds_per_second);
}

}  // namespace

duration prefill_time(const engine_profile& profile, std::int64_t tokens) {
    const auto count = static_cast<double>(tokens);
    const double linear = count / profile.read_tokens_per_second * milliseconds_per_second;
    const double million_pairs = count * count / 2.0 / pairs_per_million;
    return from_milliseconds(linear + million_pairs * profile.read_ms_per_million_pairs);
}

duration decode_pass_time(const engine_profile& profile, int decoding_requests,
                          std::int64_t context_tokens) {
    const double step =
        profile.step_ms + profile.step_ms_per_writer * decoding_requests +
        profile.step_ms_per_context_k * static_cast<double>(context_tokens) / tokens_per_k;
    return from_milliseconds(step * profile.steps_per_pass);
}

duration prefill_time_in_pass(const engine_profile& profile, duration pending) {
    const std::int64_t max_tokens = profile.read_tokens_per_step * profile.steps_per_pass;
    return std::min(pending, prefill_time(profile, max_tokens));
}

}  // namespace fuchsiaquay

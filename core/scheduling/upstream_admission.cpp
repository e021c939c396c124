#include "core/scheduling/upstream_admission.hpp"

#include <algorithm>

#include "core/scheduling/grant_table.hpp"
#include "core/scheduling/queue_policy.hpp"
#include "core/scheduling/upstream_settings.hpp"

namespace fuchsiaquay {

upstream_admission::upstream_admission(const upstream_settings& settings, const grant_table& grants,
                                       const queue_policy& policy, const admission_state& state)
    : settings_(settings), grants_(grants), policy_(policy), state_(state) {}

bool upstream_admission::fits(const queued_request& queued, const admission_terms& terms) const {
    if (!fits_memory(queued) || !fits_count(queued)) {
        return false;
    }
    if (state_.rebuilding && !fits_rebuild(queued)) {
        return false;
    }
    return queued.is_long ? fits_long(queued) : fits_short(queued, terms);
}

bool upstream_admission::fits_memory(const queued_request& queued) const {
    const auto memory = static_cast<double>(settings_.memory_tokens);
    double held_back = 0.0;
    for (const auto& [level, share] : policy_.floors()) {
        if (level != queued.request.level) {
            const double reserved = std::min(share, settings_.floor_memory_share) * memory;
            held_back += std::max(reserved - static_cast<double>(grants_.memory_used(level)), 0.0);
        }
    }
    const std::int64_t needed = grants_.memory_used() + queued.request.memory_tokens;
    return static_cast<double>(needed) + held_back <= memory;
}

bool upstream_admission::fits_count(const queued_request& queued) const {
    const auto limit = static_cast<double>(settings_.max_running);
    double held_back = 0.0;
    for (const auto& [level, share] : policy_.floors()) {
        if (level != queued.request.level) {
            const double reserved = std::min(share, settings_.floor_memory_share) * limit;
            held_back += std::max(reserved - static_cast<double>(grants_.size(level)), 0.0);
        }
    }
    return static_cast<double>(grants_.size()) + 1.0 + held_back <= limit;
}

bool upstream_admission::fits_rebuild(const queued_request& queued) const {
    const double limit =
        settings_.rebuild_memory_share * static_cast<double>(settings_.memory_tokens);
    const std::int64_t granted = state_.rebuild_granted + queued.request.memory_tokens;
    return !queued.is_long && static_cast<double>(granted) <= limit;
}

bool upstream_admission::fits_long(const queued_request& queued) const {
    const std::int64_t used = grants_.long_memory() + queued.request.memory_tokens;
    return grants_.long_prefills() < settings_.max_long_prefills &&
           used <= settings_.memory_tokens - settings_.short_memory_tokens;
}

bool upstream_admission::fits_short(const queued_request& queued,
                                    const admission_terms& terms) const {
    const double window = state_.prefill_speed * to_seconds(settings_.dispatch_window);
    if (grants_.prefill_ahead(terms.engine_priority) > window) {
        return false;
    }
    const int long_level = grants_.long_prefill_level();
    const bool yields = long_level >= 0 && !terms.floor_due &&
                        ((terms.over_share && long_level <= queued.request.level) ||
                         policy_.long_floor_due(long_level, state_.now));
    if (yields && state_.short_allowance < 0.0) {
        return false;
    }
    return !takes_long_memory(queued);
}

/// True if `queued` would take memory that a waiting long prompt needs. Memory that short prompts
/// release beyond their reserve goes to the long prompt first.
bool upstream_admission::takes_long_memory(const queued_request& queued) const {
    const queued_request* waiting = policy_.next_long();
    if (waiting == nullptr || !fits_long(*waiting)) {
        return false;
    }
    const std::int64_t used = grants_.memory_used() + queued.request.memory_tokens;
    const std::int64_t short_used = used - grants_.long_memory();
    return short_used > settings_.short_memory_tokens &&
           used + waiting->request.memory_tokens > settings_.memory_tokens;
}

}  // namespace fuchsiaquay

#include "servers/relay/request_work.hpp"

#include <algorithm>

#include "core/fleet/route.hpp"
#include "core/placement/pass_timing.hpp"
#include "core/placement/placement_decision.hpp"
#include "core/relay/caller_request.hpp"
#include "servers/fleet/engine_work_table.hpp"

namespace fuchsiaquay {

void request_work::set_account(std::uint64_t account, int rank) {
    account_ = account;
    // The order of waiting prompts depends on the rank only where accounts compete.
    rank_ = account == 0 ? 0 : rank;
}

void request_work::wait(std::uint64_t key, const engine_profile& profile,
                        std::int64_t prompt_tokens, instant late_at) {
    engine_work work;
    work.key = key;
    work.phase = work_phase::waiting;
    work.prefill_tokens = prompt_tokens;
    work.prefill_time = prefill_time(profile, prompt_tokens);
    work.dispatched_at = late_at;
    work.account = account_;
    work.rank = rank_;
    if (work_items_.empty() && work.prefill_time > long_prefill_threshold) {
        work_items_.push_back(work);
        work_table_->apply_own_works(work_items_);
    }
}

void request_work::dispatch(std::uint64_t key, const placement_decision& decision,
                            const caller_request& request, const engine_profile* profile,
                            const route& matched_route, instant now) {
    engine_work work;
    work.key = key;
    work.engine = decision.engine;
    work.dispatched_at = now;
    work.target_gap = matched_route.target_gap;
    work.account = account_;
    work.rank = rank_;
    duration pass_share{};
    if (profile != nullptr) {
        const auto parts = static_cast<std::int64_t>(decision.helpers.size()) + 1;
        const std::int64_t tokens = request.prompt_tokens.value_or(0);
        work.prefill_tokens = tokens / parts;
        work.prefill_time = prefill_time(*profile, tokens) / parts;
        pass_share = account_ == 0 ? duration::zero()
                                   : answer_engine_time(*profile, request.max_answer_tokens);
        work.engine_time = account_ == 0 ? duration::zero() : work.prefill_time + pass_share;
        work.memory_tokens = (decision.reserved_tokens > 0 ? decision.reserved_tokens : tokens) +
                             request.max_answer_tokens;
    }
    work_items_.push_back(work);
    work.target_gap = {};
    work.engine_time -= pass_share;
    for (const placement_part& part : decision.helpers) {
        work.engine = part.engine;
        work.memory_tokens = part.reserved_tokens;
        work_items_.push_back(work);
    }
    work_table_->apply_own_works(work_items_);
}

bool request_work::claim_lost() const {
    return std::any_of(work_items_.begin(), work_items_.end(), [this](const engine_work& work) {
        return work_table_->load(work.engine).claim_lost(work);
    });
}

void request_work::advance(work_phase phase) {
    for (engine_work& work : work_items_) {
        // A helper that does not keep its part of the prompt in memory is done at the first event.
        const bool done = !work.generates() && work.memory_tokens == 0;
        work.phase = phase == work_phase::decode && done ? work_phase::ended : phase;
    }
    work_table_->apply_own_works(work_items_);
    work_items_.erase(
        std::remove_if(work_items_.begin(), work_items_.end(),
                       [](const engine_work& work) { return work.phase == work_phase::ended; }),
        work_items_.end());
}

bool request_work::awaiting_first_event() const {
    return !work_items_.empty() && work_items_.front().phase == work_phase::prefill;
}

}  // namespace fuchsiaquay

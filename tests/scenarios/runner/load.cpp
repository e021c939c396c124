#include "tests/scenarios/runner/load.hpp"

#include <chrono>
#include <limits>

#include "tests/scenarios/runner/caller.hpp"

namespace fuchsiaquay::scenarios {

load::load(const load_profile& profile, const std::vector<entrypoint>& nodes, std::uint64_t seed,
           std::int64_t first_id)
    : profile_(profile),
      next_id_(first_id),
      end_id_(profile.calls == 0 ? std::numeric_limits<std::int64_t>::max()
                                 : first_id + profile.calls),
      running_(profile.callers) {
    for (std::int64_t i = 0; i < profile.callers; ++i) {
        threads_.emplace_back([this, nodes, seed, i] {
            run(nodes, seed + static_cast<std::uint64_t>(i));
            --running_;
        });
    }
}

load::~load() {
    phase_ = load_phase::abandoned;
    for (std::thread& each : threads_) {
        each.join();
    }
}

void load::run(std::vector<entrypoint> nodes, std::uint64_t seed) {
    caller one(profile_, std::move(nodes), seed, phase_);
    while (phase_ == load_phase::running) {
        const std::int64_t id = next_id_++;
        if (id >= end_id_) {
            return;
        }
        call_record call = one.make_call(id);
        answered_ += call.attempts.back().end == attempt_end::answered ? 1 : 0;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            calls_.push_back(std::move(call));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(one.pause_ms()));
    }
}

std::vector<call_record> load::calls() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return calls_;
}

}  // namespace fuchsiaquay::scenarios

#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <thread>
#include <vector>

#include "tests/scenarios/checker/call_record.hpp"
#include "tests/scenarios/runner/entrypoint.hpp"
#include "tests/scenarios/runner/load_phase.hpp"
#include "tests/scenarios/runner/load_profile.hpp"

namespace fuchsiaquay::scenarios {

/// Runs each caller on its own thread, from construction until all calls are made or `stop` is
/// called.
class load {
public:
    /// @param first_id  id of the first call; the others follow
    load(const load_profile& profile, const std::vector<entrypoint>& nodes, std::uint64_t seed,
         std::int64_t first_id);
    ~load();
    load(const load&) = delete;
    load& operator=(const load&) = delete;

    /// Makes no new calls; pending calls continue.
    void stop() { phase_ = load_phase::stopping; }

    /// True when every caller has ended its last call.
    bool done() const { return running_ == 0; }

    /// Calls that have ended so far.
    std::vector<call_record> calls() const;

    std::int64_t answered() const { return answered_; }

private:
    void run(std::vector<entrypoint> nodes, std::uint64_t seed);

    const load_profile profile_;
    std::atomic<load_phase> phase_{load_phase::running};
    std::atomic<std::int64_t> next_id_;
    const std::int64_t end_id_;
    std::atomic<std::int64_t> running_;
    std::atomic<std::int64_t> answered_{0};
    mutable std::mutex mutex_;
    std::vector<call_record> calls_;
    std::vector<std::thread> threads_;
};

}  // namespace fuchsiaquay::scenarios

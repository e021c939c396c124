#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/identity/names.hpp"
#include "core/scheduling/grant_record.hpp"
#include "core/scheduling/served_work.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

struct engine_report;

/// Grants of one upstream with their memory, expiry and predicted prefill progress. Also tracks
/// orphan streams, which are streams of the engine without a grant.
class grant_table {
public:
    void add(grant_record record);
    grant_record* find(const grant_id& grant);
    const grant_record* find_request(const request_id& request) const;
    bool erase(const grant_id& grant);
    /// Grants whose lifetime has expired.
    std::vector<grant_record> expired(instant now) const;
    instant next_expiry() const;

    /// Advances the predicted prefill progress to `now`, in the order in which the engine serves
    /// the grants. Returns the work done.
    /// @param prefill_speed  tokens per second
    std::vector<served_work> advance(instant now, double prefill_speed);
    /// Reconciles the table with the engine's list of streams. Corrects predictions, drops grants
    /// whose stream has ended, and returns the orphan streams to cancel: those that have had no
    /// grant for `orphan_grace`, or for `unreachable_issuer_grace` if the owner that granted them
    /// is unreachable.
    std::vector<grant_id> observe(const engine_report& report, duration orphan_grace,
                                  duration unreachable_issuer_grace, instant now);

    std::int64_t memory_used() const noexcept { return memory_used_ + orphan_memory_; }
    std::int64_t memory_used(int level) const;
    std::int64_t long_memory() const noexcept { return long_memory_; }
    std::size_t size() const noexcept { return grants_.size(); }
    std::size_t size(int level) const;
    /// Number of streams that have finished their prefill.
    std::int64_t decoding() const noexcept;
    std::int64_t long_prefills() const;
    /// Most urgent level with a long prompt in prefill, among customers within their share; -1 if
    /// there is none.
    int long_prefill_level() const;
    /// Prefill work left in grants of this or a more urgent priority, in tokens.
    double prefill_ahead(int engine_priority) const;
    double prefill_left(bool is_long) const;
    /// Returns the ratio of the engine's observed speed to the predicted one since the last call.
    double take_speed_correction();
    bool recently_ended(const grant_id& grant) const;

private:
    struct level_usage {
        std::int64_t memory = 0;
        std::size_t count = 0;
    };

    void correct(grant_record& record, bool prefill_done);

    std::map<grant_id, grant_record> grants_;
    std::unordered_map<std::string, grant_id> by_request_;
    std::map<int, level_usage> levels_;
    std::vector<grant_id> prefilling_;  // by engine priority, then order
    std::map<grant_id, instant> orphans_;
    std::map<grant_id, instant> ended_;
    std::int64_t memory_used_ = 0;
    std::int64_t long_memory_ = 0;
    std::int64_t orphan_memory_ = 0;
    double speed_correction_ = 1.0;
    std::vector<served_work> corrected_;
    std::uint64_t last_order_ = 0;
    instant advanced_at_{};
};

}  // namespace fuchsiaquay

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

/// The grants of one upstream: memory, expiry, predicted progress, and the streams of the engine
/// that no grant covers.
class grant_table {
public:
    void add(grant_record record);
    grant_record* find(const grant_id& grant);
    const grant_record* find_request(const request_id& request) const;
    bool erase(const grant_id& grant);
    /// Grants whose time is over.
    std::vector<grant_record> expired(instant now) const;
    instant next_expiry() const;

    /// Moves the predicted prefill forward by the engine's order of service.
    /// @param prefill_speed  tokens a second
    std::vector<served_work> advance(instant now, double prefill_speed);
    /// Compares with the engine's own list. Corrects predictions, drops grants whose stream has
    /// ended, and returns streams to cancel since no grant covers them for `orphan_grace`, or for
    /// `parted_grace` if the owner that granted them cannot be reached.
    std::vector<grant_id> observe(const engine_report& report, duration orphan_grace,
                                  duration parted_grace, instant now);

    std::int64_t memory_used() const noexcept { return memory_used_ + orphan_memory_; }
    std::int64_t memory_used(int level) const;
    std::int64_t long_memory() const noexcept { return long_memory_; }
    std::size_t size() const noexcept { return grants_.size(); }
    std::size_t size(int level) const;
    /// Streams past their prefill.
    std::int64_t decoding() const noexcept;
    std::int64_t long_prefills() const;
    /// Most urgent level among the long prompts in prefill of customers within their share; -1 when
    /// there is none.
    int long_prefill_level() const;
    /// Prefill work of this or a more urgent priority.
    double prefill_ahead(int engine_priority) const;
    double prefill_left(bool is_long) const;
    /// Ratio by which the engine was seen faster (above 1) or slower than predicted since the last
    /// call.
    double take_speed_correction();
    /// True for a grant that has ended in the recent past.
    bool recently_ended(const grant_id& grant) const;

private:
    struct level_use {
        std::int64_t memory = 0;
        std::size_t count = 0;
    };

    void correct(grant_record& record, bool prefill_done);

    std::map<grant_id, grant_record> grants_;
    std::unordered_map<std::string, grant_id> by_request_;
    std::map<int, level_use> levels_;
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

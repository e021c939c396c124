#include "core/scheduling/grant_table.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/scheduling/engine_report.hpp"

namespace fuchsiaquay {
namespace {

/// Ended grants are remembered this long, so that a late renewal does not register them again.
constexpr duration ended_retention = std::chrono::seconds(60);
/// Remaining work assumed for a stream that still prefills although its prefill was predicted to be
/// done. The engine counts as faster than predicted if more than this was left when the prefill
/// ended.
constexpr double late_prefill_tokens = 400.0;
constexpr double correction_step = 0.01;

}  // namespace

void grant_table::add(grant_record record) {
    record.order = ++last_order_;
    memory_used_ += record.memory_tokens;
    long_memory_ += record.is_long ? record.memory_tokens : 0;
    level_usage& usage = levels_[record.level];
    usage.memory += record.memory_tokens;
    ++usage.count;
    by_request_[record.request.value()] = record.grant;
    const auto orphan = orphans_.find(record.grant);
    if (orphan != orphans_.end()) {
        orphans_.erase(orphan);
        orphan_memory_ = std::max<std::int64_t>(orphan_memory_ - record.memory_tokens, 0);
    }
    const grant_id id = record.grant;
    const bool in_prefill = record.prefill_left > 0.0;
    grants_[id] = std::move(record);
    if (!in_prefill) {
        return;
    }
    const auto place = std::upper_bound(prefilling_.begin(), prefilling_.end(), id,
                                        [this](const grant_id& a, const grant_id& b) {
                                            const grant_record& first = grants_.at(a);
                                            const grant_record& second = grants_.at(b);
                                            return std::tie(first.engine_priority, first.order) <
                                                   std::tie(second.engine_priority, second.order);
                                        });
    prefilling_.insert(place, id);
}

grant_record* grant_table::find(const grant_id& grant) {
    const auto found = grants_.find(grant);
    return found == grants_.end() ? nullptr : &found->second;
}

const grant_record* grant_table::find_request(const request_id& request) const {
    const auto found = by_request_.find(request.value());
    return found == by_request_.end() ? nullptr : &grants_.at(found->second);
}

bool grant_table::erase(const grant_id& grant) {
    const auto found = grants_.find(grant);
    if (found == grants_.end()) {
        return false;
    }
    const grant_record& record = found->second;
    memory_used_ -= record.memory_tokens;
    long_memory_ -= record.is_long ? record.memory_tokens : 0;
    level_usage& usage = levels_[record.level];
    usage.memory -= record.memory_tokens;
    --usage.count;
    by_request_.erase(record.request.value());
    prefilling_.erase(std::remove(prefilling_.begin(), prefilling_.end(), grant),
                      prefilling_.end());
    ended_[grant] = advanced_at_;
    grants_.erase(found);
    return true;
}

std::vector<grant_record> grant_table::expired(instant now) const {
    std::vector<grant_record> expired_grants;
    for (const auto& [id, record] : grants_) {
        if (record.expires_at <= now) {
            expired_grants.push_back(record);
        }
    }
    return expired_grants;
}

instant grant_table::next_expiry() const {
    instant earliest = instant::max();
    for (const auto& [id, record] : grants_) {
        earliest = std::min(earliest, record.expires_at);
    }
    return earliest;
}

std::vector<served_work> grant_table::advance(instant now, double prefill_speed) {
    std::vector<served_work> served = std::move(corrected_);
    corrected_.clear();
    double budget = std::max(prefill_speed * to_seconds(now - advanced_at_), 0.0);
    advanced_at_ = now;
    std::size_t done = 0;
    for (const grant_id& id : prefilling_) {
        if (budget <= 0.0) {
            break;
        }
        grant_record& record = grants_.at(id);
        const double part = std::min(budget, record.prefill_left);
        budget -= part;
        record.prefill_left -= part;
        const bool complete = record.prefill_left <= 0.0;
        served.push_back(
            served_work{record.level, record.is_long,
                        part + (complete ? static_cast<double>(record.output_tokens) : 0.0)});
        done += complete ? 1 : 0;
    }
    prefilling_.erase(prefilling_.begin(), prefilling_.begin() + static_cast<std::ptrdiff_t>(done));
    return served;
}

std::vector<grant_id> grant_table::observe(const engine_report& report, duration orphan_grace,
                                           duration unreachable_issuer_grace, instant now) {
    std::vector<grant_id> to_cancel;
    std::map<grant_id, instant> orphans;
    orphan_memory_ = 0;
    std::map<grant_id, bool> listed;
    for (const engine_stream& stream : report.streams) {
        listed[stream.grant] = true;
        grant_record* record = find(stream.grant);
        if (record != nullptr) {
            record->listed_by_engine = true;
            correct(*record,
                    stream.phase == stream_phase::decode || stream.phase == stream_phase::held);
            continue;
        }
        const auto known = orphans_.find(stream.grant);
        const instant since = known == orphans_.end() ? now : known->second;
        orphans[stream.grant] = since;
        orphan_memory_ += stream.memory_tokens;
        if (now - since >= (stream.issuer_unreachable ? unreachable_issuer_grace : orphan_grace)) {
            to_cancel.push_back(stream.grant);
        }
    }
    orphans_ = std::move(orphans);
    std::vector<grant_id> gone;
    for (const auto& [id, record] : grants_) {
        // A stream that was never listed may still start late, as the last part of a group does.
        // Such a grant ends when its lifetime expires.
        if (record.listed_by_engine && record.granted_at < report.asked_at &&
            listed.count(id) == 0) {
            gone.push_back(id);
        }
    }
    for (const grant_id& id : gone) {
        erase(id);
    }
    for (auto it = ended_.begin(); it != ended_.end();) {
        it = now - it->second > ended_retention ? ended_.erase(it) : std::next(it);
    }
    return to_cancel;
}

void grant_table::correct(grant_record& record, bool prefill_done) {
    if (prefill_done && record.prefill_left > 0.0) {
        speed_correction_ += record.prefill_left > late_prefill_tokens ? correction_step : 0.0;
        corrected_.push_back(
            served_work{record.level, record.is_long,
                        record.prefill_left + static_cast<double>(record.output_tokens)});
        record.prefill_left = 0.0;
        prefilling_.erase(std::remove(prefilling_.begin(), prefilling_.end(), record.grant),
                          prefilling_.end());
    } else if (!prefill_done && record.prefill_left <= 0.0) {
        speed_correction_ -= correction_step;
        record.prefill_left = late_prefill_tokens;
        record.output_tokens = 0;
        prefilling_.insert(prefilling_.begin(), record.grant);
    }
}

std::int64_t grant_table::memory_used(int level) const {
    const auto found = levels_.find(level);
    return found == levels_.end() ? 0 : found->second.memory;
}

std::size_t grant_table::size(int level) const {
    const auto found = levels_.find(level);
    return found == levels_.end() ? 0 : found->second.count;
}

std::int64_t grant_table::decoding() const noexcept {
    return static_cast<std::int64_t>(grants_.size() - prefilling_.size());
}

std::int64_t grant_table::long_prefills() const {
    return std::count_if(prefilling_.begin(), prefilling_.end(),
                         [this](const grant_id& id) { return grants_.at(id).is_long; });
}

int grant_table::long_prefill_level() const {
    int level = -1;
    for (const grant_id& id : prefilling_) {
        const grant_record& record = grants_.at(id);
        if (record.is_long && !record.over_share && (level < 0 || record.level < level)) {
            level = record.level;
        }
    }
    return level;
}

double grant_table::prefill_ahead(int engine_priority) const {
    double ahead = 0.0;
    for (const grant_id& id : prefilling_) {
        const grant_record& record = grants_.at(id);
        if (record.engine_priority > engine_priority) {
            break;
        }
        ahead += record.prefill_left;
    }
    return ahead;
}

double grant_table::prefill_left(bool is_long) const {
    double left = 0.0;
    for (const grant_id& id : prefilling_) {
        const grant_record& record = grants_.at(id);
        left += record.is_long == is_long ? record.prefill_left : 0.0;
    }
    return left;
}

double grant_table::take_speed_correction() {
    return std::exchange(speed_correction_, 1.0);
}

bool grant_table::recently_ended(const grant_id& grant) const {
    return ended_.count(grant) > 0;
}

}  // namespace fuchsiaquay

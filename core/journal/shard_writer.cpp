#include "core/journal/shard_writer.hpp"

#include <algorithm>
#include <utility>

namespace fuchsiaquay {

shard_writer::shard_writer(const journal_settings& settings, journal_fault fault)
    : settings_(settings), fault_(fault) {}

void shard_writer::enqueue(const start_request& request) {
    pending_start start{request, reads_started_, std::nullopt, false};
    if (!decide_locally(start)) {
        pending_.push_back(std::move(start));
    }
}

void shard_writer::finish(const record_id& record, const writer_mark& mark,
                          const journal_outcome& outcome, instant now) {
    const auto call = running_.find(record);
    if (call == running_.end() || call->second.mark != mark) {
        return;
    }
    if (fault_ == journal_fault::forget_unanswered_call && !outcome.known) {
        abandon(record, mark);
        return;
    }
    const bool bounded = outcome.body.size() <= settings_.max_answer_bytes;
    call->second.outcome = bounded ? outcome : outcome.without_body();
    call->second.ended = now;
}

void shard_writer::abandon(const record_id& record, const writer_mark& mark) {
    const auto call = running_.find(record);
    if (call == running_.end() || call->second.mark != mark || call->second.outcome) {
        return;
    }
    running_.erase(call);
    abandoned_[mark] = {record, revision_};
}

shard_writer::step shard_writer::next_step(instant now) {
    reject_expired_starts(now);
    if (store_call_pending_) {
        return step::none;
    }
    const bool outcome_wanted = outcome_due(now);
    if (pending_.empty()) {
        answers_.clear();
    }
    if (pending_.empty() && abandoned_.empty() && !outcome_wanted) {
        return step::none;
    }
    if (!cached_state_) {
        return step::read;
    }
    remove_resolved_abandoned();
    bool append = false;
    bool read = false;
    std::vector<pending_start> kept;
    for (pending_start& start : pending_) {
        const evaluation result = evaluate(start);
        append = append || result == evaluation::append;
        read = read || result == evaluation::read;
        if (result != evaluation::decided) {
            kept.push_back(std::move(start));
        }
    }
    pending_ = std::move(kept);
    if (read) {
        return step::read;
    }
    return append || outcome_wanted || !abandoned_.empty() ? step::write : step::none;
}

std::vector<writer_mark> shard_writer::take_inquiries() {
    return std::exchange(inquiries_, {});
}

std::vector<start_decision> shard_writer::take_decisions() {
    return std::exchange(decisions_, {});
}

void shard_writer::on_inquiry(const writer_mark& mark, inquiry_result result) {
    if (fault_ == journal_fault::release_unknown_mark && result == inquiry_result::unknown) {
        result = inquiry_result::never_used;
    }
    answers_[mark] = {result, reads_started_};
}

void shard_writer::on_read_started() {
    store_call_pending_ = true;
    ++reads_started_;
}

bool shard_writer::on_read(shard_state state, std::int64_t revision) {
    store_call_pending_ = false;
    if (revision < revision_) {
        return false;
    }
    cached_state_ = std::move(state);
    revision_ = revision;
    cached_read_number_ = reads_started_;
    remove_recorded_calls();
    return true;
}

void shard_writer::on_read_failed() {
    store_call_pending_ = false;
}

const shard_state& shard_writer::begin_write(std::int64_t unix_ms) {
    store_call_pending_ = true;
    next_state_ = *cached_state_;
    const std::int64_t retention_ms = to_milliseconds(settings_.retention);
    next_state_.expire_before(unix_ms - retention_ms, retention_ms);
    next_state_.drop_bodies_before(unix_ms - to_milliseconds(settings_.answer_retention));
    for (const auto& [mark, start] : abandoned_) {
        next_state_.erase(start.record, mark);
    }
    add_outcomes(next_state_);
    add_starts(next_state_);
    return next_state_;
}

void shard_writer::on_write_applied(std::int64_t revision) {
    store_call_pending_ = false;
    cached_state_ = std::move(next_state_);
    next_state_ = shard_state();
    revision_ = revision;
    remove_recorded_calls();
}

void shard_writer::on_write_unconfirmed() {
    store_call_pending_ = false;
    cached_state_.reset();
}

mark_use shard_writer::use_of(const writer_mark& mark) const {
    if (abandoned_.count(mark) != 0) {
        return mark_use::never_used;
    }
    for (const pending_start& start : pending_) {
        if (start.request.mark == mark) {
            return mark_use::used;
        }
    }
    for (const auto& [record, call] : running_) {
        if (call.mark == mark) {
            return mark_use::used;
        }
    }
    return mark_use::unknown;
}

bool shard_writer::idle() const {
    return !store_call_pending_ && pending_.empty() && running_.empty() && abandoned_.empty();
}

bool shard_writer::has_record(const record_id& record) const {
    if (running_.count(record) != 0 || (cached_state_ && cached_state_->find(record) != nullptr)) {
        return true;
    }
    return std::any_of(pending_.begin(), pending_.end(), [&record](const pending_start& start) {
        return start.request.record == record;
    });
}

bool shard_writer::has_unfinished_calls() const {
    return !pending_.empty() || !running_.empty();
}

std::size_t shard_writer::cached_bytes() const {
    return cached_state_ ? cached_state_->encoded_bytes() : 0;
}

void shard_writer::drop_cache() {
    if (!store_call_pending_) {
        cached_state_.reset();
    }
}

void shard_writer::decide(const pending_start& start, begin_verdict verdict, const char* reason,
                          std::optional<journal_outcome> outcome) {
    if (verdict != begin_verdict::started) {
        keep_mark_if_sent(start);
    }
    const bool consulted = cached_state_ && cached_read_number_ > start.reads_at_arrival;
    const bool key_unused = consulted && cached_state_->find(start.request.record) == nullptr;
    decisions_.push_back({start.request.mark, verdict, reason, std::move(outcome), key_unused});
}

bool shard_writer::decide_locally(const pending_start& start) {
    const start_request& request = start.request;
    const auto call = running_.find(request.record);
    if (call != running_.end()) {
        if (call->second.fingerprint != request.fingerprint) {
            decide(start, begin_verdict::reused_key, "key_reused");
        } else if (!call->second.outcome) {
            decide(start, begin_verdict::in_progress, "in_progress");
        } else if (call->second.outcome->known) {
            decide(start, begin_verdict::finished, "", call->second.outcome);
        } else {
            decide(start, begin_verdict::may_have_run, "outcome_unknown");
        }
        return true;
    }
    for (const pending_start& other : pending_) {
        if (other.request.record == request.record) {
            decide(start, begin_verdict::in_progress, "in_progress");
            return true;
        }
    }
    return false;
}

void shard_writer::keep_mark_if_sent(const pending_start& start) {
    if (start.expected_revision && fault_ != journal_fault::forget_abandoned_mark) {
        abandoned_[start.request.mark] = {start.request.record, *start.expected_revision};
    }
}

void shard_writer::reject_expired_starts(instant now) {
    std::vector<pending_start> kept;
    for (pending_start& start : pending_) {
        if (now < start.request.deadline) {
            kept.push_back(std::move(start));
            continue;
        }
        decide(start, begin_verdict::not_run, "start_not_durable_in_time");
    }
    pending_ = std::move(kept);
}

void shard_writer::remove_resolved_abandoned() {
    for (auto it = abandoned_.begin(); it != abandoned_.end();) {
        const journal_entry* entry = cached_state_->find(it->second.record);
        const bool written = entry != nullptr && entry->mark == it->first;
        // The write was conditional on `expected_revision`. The shard is past it, so the write can
        // no longer take effect.
        const bool fenced = revision_ > it->second.expected_revision;
        if (!written && fenced) {
            it = abandoned_.erase(it);
        } else {
            ++it;
        }
    }
}

void shard_writer::remove_recorded_calls() {
    for (auto it = running_.begin(); it != running_.end();) {
        const journal_entry* entry = cached_state_->find(it->first);
        const bool in_state = entry != nullptr && entry->mark == it->second.mark;
        if (it->second.outcome && (!in_state || entry->outcome)) {
            it = running_.erase(it);
        } else {
            ++it;
        }
    }
}

shard_writer::evaluation shard_writer::evaluate(pending_start& start) {
    const start_request& request = start.request;
    const journal_entry* entry = cached_state_->find(request.record);
    if (entry == nullptr) {
        const bool expired = request.record.key.issued_ms() < cached_state_->horizon_ms();
        if (expired && fault_ != journal_fault::ignore_horizon) {
            decide(start, begin_verdict::expired_key, "key_expired");
            return evaluation::decided;
        }
        return evaluation::append;
    }
    if (entry->mark == request.mark) {
        running_[request.record] = {request.mark, request.fingerprint, std::nullopt, instant()};
        decide(start, begin_verdict::started, "");
        return evaluation::decided;
    }
    if (entry->fingerprint != request.fingerprint) {
        decide(start, begin_verdict::reused_key, "key_reused");
        return evaluation::decided;
    }
    if (!entry->outcome) {
        return evaluate_started(start, *entry);
    }
    if (entry->outcome->known) {
        decide(start, begin_verdict::finished, "", entry->outcome);
    } else {
        decide(start, begin_verdict::may_have_run, "outcome_unknown");
    }
    return evaluation::decided;
}

shard_writer::evaluation shard_writer::evaluate_started(pending_start& start,
                                                        const journal_entry& entry) {
    if (fault_ == journal_fault::take_over_started || abandoned_.count(entry.mark) != 0) {
        return evaluation::append;
    }
    if (entry.mark.same_writer(start.request.mark)) {
        const bool running = running_.count(start.request.record) != 0;
        decide(start, running ? begin_verdict::in_progress : begin_verdict::may_have_run,
               running ? "in_progress" : "outcome_unknown");
        return evaluation::decided;
    }
    if (cached_read_number_ <= start.reads_at_arrival) {
        return evaluation::read;
    }
    const auto answer = answers_.find(entry.mark);
    if (answer != answers_.end()) {
        return evaluate_answer(start, answer->second);
    }
    if (!start.inquired) {
        start.inquired = true;
        inquiries_.push_back(entry.mark);
    }
    return evaluation::wait;
}

shard_writer::evaluation shard_writer::evaluate_answer(const pending_start& start,
                                                       const inquiry_answer& answer) {
    if (answer.result == inquiry_result::never_used) {
        return evaluation::append;
    }
    if (answer.result == inquiry_result::in_progress) {
        decide(start, begin_verdict::in_progress, "in_progress");
        return evaluation::decided;
    }
    // The writer may have recorded the outcome while the inquiry was in flight, so a read that
    // started after the answer is needed.
    if (cached_read_number_ <= answer.reads_at_answer) {
        return evaluation::read;
    }
    decide(start, begin_verdict::may_have_run, "writer_gone");
    return evaluation::decided;
}

bool shard_writer::outcome_due(instant now) const {
    return std::any_of(running_.begin(), running_.end(), [this, now](const auto& call) {
        const duration delay = outcomes_immediate_ ? duration::zero() : settings_.outcome_delay;
        return call.second.outcome && now >= call.second.ended + delay;
    });
}

void shard_writer::add_outcomes(shard_state& next) const {
    for (const auto& [record, call] : running_) {
        if (!call.outcome) {
            continue;
        }
        const std::size_t body_bytes = call.outcome->body.size();
        const bool fits = next.encoded_bytes() + body_bytes <= settings_.max_shard_bytes;
        next.set_outcome(record, call.mark, fits ? *call.outcome : call.outcome->without_body());
    }
}

void shard_writer::add_starts(shard_state& next) {
    std::vector<pending_start> kept;
    for (pending_start& start : pending_) {
        const evaluation result = evaluate(start);
        if (result == evaluation::decided) {
            continue;
        }
        if (result != evaluation::append) {
            kept.push_back(std::move(start));
            continue;
        }
        const start_request& request = start.request;
        journal_entry entry{request.record, request.fingerprint, request.mark, std::nullopt};
        if (next.encoded_bytes() + encoded_entry_bytes(entry) > settings_.max_shard_bytes) {
            decide(start, begin_verdict::not_run, "journal_shard_full");
            continue;
        }
        next.put(std::move(entry));
        start.expected_revision = revision_;
        if (fault_ == journal_fault::call_before_confirmed) {
            running_[request.record] = {request.mark, request.fingerprint, std::nullopt, instant()};
            decide(start, begin_verdict::started, "");
            continue;
        }
        kept.push_back(std::move(start));
    }
    pending_ = std::move(kept);
}

}  // namespace fuchsiaquay

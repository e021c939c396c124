#include "servers/journal/journal_service.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "servers/journal/journal_format_error.hpp"
#include "servers/journal/journal_peers.hpp"
#include "servers/journal/shard_codec.hpp"
#include "servers/wall_clock.hpp"

namespace fuchsiaquay {

namespace {

constexpr duration tick_period = std::chrono::milliseconds(10);
/// Interval at which calls are let through to probe a store that is failing.
constexpr duration store_probe_interval = std::chrono::milliseconds(500);
constexpr duration in_progress_retry = std::chrono::milliseconds(500);
constexpr duration not_run_retry = std::chrono::seconds(1);

std::string shard_key(std::uint32_t shard) {
    return "fuchsiaquay/journal/" + std::to_string(shard);
}

begin_result refused(begin_verdict verdict, const char* reason,
                     duration retry_after = duration::zero()) {
    begin_result result;
    result.verdict = verdict;
    result.reason = reason;
    result.retry_after = retry_after;
    return result;
}

}  // namespace

journal_service::journal_service(const journal_settings& settings, writer_identity self,
                                 key_value_store& store, timer_service& timers,
                                 const wall_clock& clock, const shard_codec& codec,
                                 journal_peers& peers, journal_fault fault)
    : settings_(settings),
      self_(std::move(self)),
      store_(store),
      timers_(timers),
      clock_(clock),
      codec_(codec),
      peers_(peers),
      fault_(fault),
      write_limiter_(settings.writes_per_second, settings.write_burst),
      inquiries_(settings.inquiry_timeout, self_, peers) {}

journal_service::~journal_service() {
    timers_.cancel(tick_);
    timers_.cancel(write_queue_timer_);
}

void journal_service::begin(const begin_request& request, begin_handler handler) {
    ++counters_.begins;
    const std::optional<idempotency_key> key = parse_idempotency_key(request.key);
    if (!key) {
        handler(refused(begin_verdict::malformed_key, "key_not_uuidv7"));
        return;
    }
    const std::int64_t now_ms = clock_.unix_ms();
    if (key->issued_ms() < now_ms - to_milliseconds(settings_.retention)) {
        handler(refused(begin_verdict::expired_key, "key_expired"));
        return;
    }
    if (key->issued_ms() > now_ms + to_milliseconds(settings_.clock_tolerance)) {
        handler(refused(begin_verdict::future_key, "key_from_future"));
        return;
    }
    const std::uint32_t shard =
        journal_shard(request.customer, *key, settings_.shard_count, settings_.shard_period);
    const record_id record = make_record_id(request.customer, *key);
    shard_slot& slot = slot_of(shard);
    duration retry_after{};
    const char* reason = refusal_reason(slot, record, retry_after);
    if (reason != nullptr) {
        ++counters_.not_run;
        handler(refused(begin_verdict::not_run, reason, retry_after));
        return;
    }
    const instant now = timers_.now();
    const writer_mark mark{self_.host, self_.incarnation, ++last_sequence_};
    pending_begins_[mark] = {shard, record, std::move(handler)};
    const duration start_wait = std::min(settings_.start_timeout, request.time_left);
    slot.writer.enqueue({record, request.fingerprint, mark, now + start_wait});
    slot.last_used = now;
    process_shard(shard);
}

void journal_service::finish(const journal_token& token, const journal_outcome& outcome) {
    slot_of(token.shard).writer.finish(token.record, token.mark, outcome, timers_.now());
    process_shard(token.shard);
}

void journal_service::abandon(const journal_token& token) {
    slot_of(token.shard).writer.abandon(token.record, token.mark);
    process_shard(token.shard);
}

void journal_service::on_peer_message(const host_id& sender, const peer_message& message) {
    if (const auto* query = std::get_if<mark_query>(&message)) {
        answer_query(sender, *query);
    } else if (const auto* answer = std::get_if<mark_answer>(&message)) {
        on_query_answer(sender, *answer);
    }
}

void journal_service::set_write_rate(double writes_per_second) {
    write_limiter_.set_rate(writes_per_second, timers_.now());
}

void journal_service::drain(std::function<void()> done) {
    on_drained_ = std::move(done);
    for (const auto& [shard, slot] : slots_) {
        slot->writer.write_outcomes_immediately();
    }
    finish_drain();
}

journal_service::shard_slot& journal_service::slot_of(std::uint32_t shard) {
    std::unique_ptr<shard_slot>& slot = slots_[shard];
    if (!slot) {
        slot = std::make_unique<shard_slot>(settings_, fault_);
    }
    return *slot;
}

const char* journal_service::refusal_reason(const shard_slot& slot, const record_id& record,
                                            duration& retry_after) {
    if (slot.writer.has_record(record)) {
        return nullptr;
    }
    const instant now = timers_.now();
    retry_after = not_run_retry;
    if (on_drained_) {
        return "shutting_down";
    }
    if (store_failing_ && now < last_failure_ + store_probe_interval) {
        return "store_unavailable";
    }
    if (slot.write_queued) {
        return nullptr;
    }
    const duration wait = write_limiter_.time_until_available(write_queue_.size(), now);
    if (wait <= settings_.max_budget_wait) {
        return nullptr;
    }
    ++counters_.over_budget;
    retry_after = wait;
    return "write_budget_spent";
}

void journal_service::process_shard(std::uint32_t shard) {
    shard_slot& slot = slot_of(shard);
    active_.insert(shard);
    if (tick_ == 0) {
        tick_ = timers_.every(tick_period, [this] { process_active_shards(); });
    }
    const shard_writer::step step = slot.writer.next_step(timers_.now());
    ask_writers(shard);
    if (timers_.now() >= slot.not_before) {
        if (step == shard_writer::step::read) {
            start_read(shard);
        } else if (step == shard_writer::step::write) {
            queue_write(shard);
        }
    }
    deliver_decisions(shard);
}

void journal_service::process_active_shards() {
    for (const mark_inquiries::closed_inquiry& closed : inquiries_.close_expired(timers_.now())) {
        slot_of(closed.shard).writer.on_inquiry(closed.mark, closed.result);
    }
    const std::set<std::uint32_t> shards = active_;
    for (const std::uint32_t shard : shards) {
        process_shard(shard);
        if (slot_of(shard).writer.idle()) {
            active_.erase(shard);
        }
    }
    evict_idle();
    finish_drain();
    if (active_.empty()) {
        timers_.cancel(std::exchange(tick_, 0));
    }
}

void journal_service::deliver_decisions(std::uint32_t shard) {
    const std::vector<start_decision> decisions = slot_of(shard).writer.take_decisions();
    for (const start_decision& decision : decisions) {
        deliver_decision(decision);
    }
}

void journal_service::deliver_decision(const start_decision& decision) {
    const auto found = pending_begins_.find(decision.mark);
    if (found == pending_begins_.end()) {
        return;
    }
    const pending_begin start = std::move(found->second);
    pending_begins_.erase(found);
    begin_result result = refused(decision.verdict, decision.reason.c_str());
    result.outcome = decision.outcome;
    result.key_unused = decision.key_unused;
    if (decision.verdict == begin_verdict::started) {
        ++counters_.started;
        result.token = {start.shard, start.record, decision.mark};
    } else if (decision.verdict == begin_verdict::not_run) {
        ++counters_.not_run;
        result.retry_after = not_run_retry;
    } else if (decision.verdict == begin_verdict::in_progress) {
        result.retry_after = in_progress_retry;
    } else if (decision.verdict == begin_verdict::finished) {
        ++counters_.replayed;
    } else if (decision.verdict == begin_verdict::may_have_run) {
        ++counters_.may_have_run;
    }
    start.handler(result);
}

void journal_service::start_read(std::uint32_t shard) {
    ++counters_.store_reads;
    slot_of(shard).writer.on_read_started();
    store_.read(shard_key(shard),
                [this, shard, alive = std::weak_ptr<bool>(alive_)](const read_result& result) {
                    if (!alive.expired()) {
                        on_read(shard, result);
                    }
                });
}

void journal_service::on_read(std::uint32_t shard, const read_result& result) {
    shard_slot& slot = slot_of(shard);
    const bool usable = apply_read(slot, result);
    update_store_health(slot, result.ok(), usable);
    process_shard(shard);
}

bool journal_service::apply_read(shard_slot& slot, const read_result& result) {
    if (!result.ok()) {
        slot.writer.on_read_failed();
        return false;
    }
    if (result.values.empty()) {
        return slot.writer.on_read(shard_state(), 0);
    }
    const stored_value& stored = result.values.front();
    try {
        return slot.writer.on_read(codec_.decode(stored.value), stored.revision);
    } catch (const journal_format_error&) {
        // The value is left for an operator to inspect. Calls on this shard are not run.
        slot.writer.on_read_failed();
        return false;
    }
}

void journal_service::queue_write(std::uint32_t shard) {
    shard_slot& slot = slot_of(shard);
    if (slot.write_queued) {
        return;
    }
    slot.write_queued = true;
    write_queue_.push_back(shard);
    start_queued_writes();
}

void journal_service::start_queued_writes() {
    while (!write_queue_.empty() && write_limiter_.try_take(timers_.now())) {
        const std::uint32_t shard = write_queue_.front();
        write_queue_.pop_front();
        shard_slot& slot = slot_of(shard);
        slot.write_queued = false;
        if (slot.writer.next_step(timers_.now()) == shard_writer::step::write) {
            start_write(shard);
        } else {
            write_limiter_.return_unused();
        }
    }
    if (!write_queue_.empty() && write_queue_timer_ == 0) {
        write_queue_timer_ =
            timers_.after(write_limiter_.time_until_available(0, timers_.now()), [this] {
                write_queue_timer_ = 0;
                start_queued_writes();
            });
    }
}

void journal_service::start_write(std::uint32_t shard) {
    shard_slot& slot = slot_of(shard);
    const std::string value = codec_.encode(slot.writer.begin_write(clock_.unix_ms()));
    ++counters_.store_writes;
    counters_.bytes_written += value.size();
    store_.commit(compare_and_swap(shard_key(shard), slot.writer.expected_revision(), value),
                  [this, shard, alive = std::weak_ptr<bool>(alive_)](const write_result& result) {
                      if (!alive.expired()) {
                          on_write(shard, result);
                      }
                  });
}

void journal_service::on_write(std::uint32_t shard, const write_result& result) {
    shard_slot& slot = slot_of(shard);
    if (result.outcome == write_outcome::applied) {
        slot.writer.on_write_applied(result.revision);
    } else {
        slot.writer.on_write_unconfirmed();
        const bool conflict = result.outcome == write_outcome::conflict;
        ++(conflict ? counters_.write_conflicts : counters_.writes_unanswered);
    }
    const bool answered = result.outcome != write_outcome::unknown;
    update_store_health(slot, answered, answered);
    process_shard(shard);
}

void journal_service::update_store_health(shard_slot& slot, bool answered, bool usable) {
    store_failing_ = !answered;
    if (!answered) {
        last_failure_ = timers_.now();
    }
    if (usable) {
        slot.retry_delay = duration::zero();
        return;
    }
    slot.retry_delay =
        std::clamp(slot.retry_delay * 2, settings_.store_retry_min, settings_.store_retry_max);
    slot.not_before = timers_.now() + slot.retry_delay;
}

void journal_service::ask_writers(std::uint32_t shard) {
    shard_slot& slot = slot_of(shard);
    for (const writer_mark& mark : slot.writer.take_inquiries()) {
        const std::optional<inquiry_result> known = inquiries_.ask(shard, mark, timers_.now());
        if (known) {
            slot.writer.on_inquiry(mark, *known);
        } else {
            ++counters_.inquiries;
        }
    }
}

void journal_service::answer_query(const host_id& sender, const mark_query& query) {
    mark_answer answer{query.shard, query.mark, mark_use::unknown};
    const std::optional<writer_mark> mark = parse_writer_mark(query.mark);
    const auto slot = slots_.find(query.shard);
    if (mark && mark->host == self_.host && mark->incarnation == self_.incarnation &&
        slot != slots_.end()) {
        answer.use = slot->second->writer.use_of(*mark);
    }
    peers_.send(sender, answer);
}

void journal_service::on_query_answer(const host_id& sender, const mark_answer& answer) {
    const auto closed = inquiries_.on_answer(sender, answer);
    if (closed) {
        slot_of(closed->shard).writer.on_inquiry(closed->mark, closed->result);
        process_shard(closed->shard);
    }
}

void journal_service::evict_idle() {
    std::size_t cached = 0;
    for (const auto& [shard, slot] : slots_) {
        cached += slot->writer.cached_bytes();
    }
    while (cached > settings_.max_cached_bytes) {
        auto oldest = slots_.end();
        for (auto it = slots_.begin(); it != slots_.end(); ++it) {
            const bool evictable = it->second->writer.idle() && !it->second->write_queued;
            if (evictable &&
                (oldest == slots_.end() || it->second->last_used < oldest->second->last_used)) {
                oldest = it;
            }
        }
        if (oldest == slots_.end()) {
            return;
        }
        cached -= oldest->second->writer.cached_bytes();
        slots_.erase(oldest);
    }
}

void journal_service::finish_drain() {
    const bool has_unfinished_calls =
        std::any_of(slots_.begin(), slots_.end(),
                    [](const auto& slot) { return slot.second->writer.has_unfinished_calls(); });
    if (on_drained_ && !has_unfinished_calls) {
        std::exchange(on_drained_, [] {})();
    }
}

}  // namespace fuchsiaquay

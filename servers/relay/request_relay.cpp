#include "servers/relay/request_relay.hpp"

#include <algorithm>
#include <utility>

#include "core/fleet/upstream_entry.hpp"
#include "core/hashing/hash.hpp"
#include "core/health/attempt_evidence.hpp"
#include "core/health/upstream_health.hpp"
#include "core/identity/names.hpp"
#include "core/placement/pass_timing.hpp"
#include "core/placement/placement_decision.hpp"
#include "core/relay/stall_patience.hpp"
#include "core/retry/fleet_retry_budget.hpp"
#include "servers/fleet/configuration_feed.hpp"
#include "servers/fleet/engine_board.hpp"
#include "servers/fleet/upstream_registry.hpp"
#include "servers/relay/admission.hpp"
#include "servers/relay/memory_claims.hpp"
#include "servers/relay/relay_queue.hpp"
#include "servers/relay/request_ending.hpp"
#include "servers/relay/request_format.hpp"
#include "servers/relay/response_sink.hpp"
#include "servers/relay/upstream_choice.hpp"
#include "servers/relay/upstream_connector.hpp"
#include "servers/relay/upstream_terms.hpp"
#include "servers/request_metrics.hpp"
#include "servers/store/prefix_mirror.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

namespace {

constexpr int status_success_first = 200;
constexpr int status_success_last = 299;
constexpr int status_server_error = 500;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;
/// Attempts beyond those that a route allows, for upstreams that declined without running.
constexpr int max_declined_attempts = 2;
/// Time that a further attempt needs at least.
constexpr duration min_attempt_time = std::chrono::milliseconds(30);
/// A host that has just started learns what it needs to serve within this time.
constexpr duration preparation_wait = std::chrono::milliseconds(800);
/// Longest wait for another upstream after an attempt has failed.
constexpr duration retry_wait = std::chrono::milliseconds(1'000);
/// Time in which most requests are served; a host that stops sooner does not begin one.
constexpr duration usual_service_time = std::chrono::milliseconds(4'500);
/// Time after which a caller of a stopping host comes back, to another one.
constexpr duration elsewhere_delay = std::chrono::milliseconds(10);
/// Shortest time after which a caller that found no room comes back.
constexpr duration no_room_delay = std::chrono::milliseconds(600);
/// Urgencies of the upstreams' interface that one rank spans.
constexpr int urgencies_per_rank = 3;
/// A host hears of another one's choice within this time.
constexpr duration claim_time = std::chrono::milliseconds(20);
constexpr int max_urgency = 9;

bool is_success(int status) {
    return status >= status_success_first && status <= status_success_last;
}

}  // namespace

request_relay::request_relay(const relay_services& services, const upstream_choice& choice,
                             relay_queue& queue, caller_request request, response_sink& sink)
    : services_(services),
      choice_(choice),
      queue_(queue),
      request_(std::move(request)),
      sink_(sink),
      log_(services, request_),
      work_(services.board) {
    queue_.add(*this);
}

request_relay::~request_relay() {
    queue_.remove(*this);
    if (!done_) {
        log_end("caller_left", 0, begun_ ? "during the answer" : "before the answer");
    }
    exchange_.reset();
    work_.advance(work_phase::ended);
}

bool request_relay::repeatable() const {
    return admitted_.terms->repeatable();
}

void request_relay::start() {
    if (!host_prepared() && services_.timers.now() - request_.received_at < preparation_wait) {
        waiting_ = true;
        return;
    }
    waiting_ = false;
    admitted_ =
        admit(request_, services_.configuration.current(), services_.configuration_mirror.fresh());
    if (admitted_.refused) {
        refuse(*admitted_.refused);
        return;
    }
    const duration limit =
        std::min(admitted_.terms->timeout, request_.time_limit.value_or(admitted_.terms->timeout));
    deadline_ = request_.received_at + limit;
    if (services_.serving_time_left() < std::min(limit, usual_service_time)) {
        refuse({status_unavailable, "host_stopping", elsewhere_delay});
        return;
    }
    if (!request_.last_event_id.empty()) {
        events_ = event_splitter(std::strtoll(request_.last_event_id.c_str(), nullptr, 10));
    }
    wait_until_ = std::min(request_.received_at + admitted_.terms->target,
                           deadline_ - min_attempt_time);
    services_.budget.on_request(admitted_.service_name, request_.received_at);
    place();
}

bool request_relay::host_prepared() const {
    if (services_.configuration.current() == nullptr) {
        return false;
    }
    const bool current = services_.configuration_mirror.was_fresh() && services_.upstreams.loaded();
    // Past its start a host knows what it lacks, and that waiting does not help.
    return current || !queue_.starting();
}

void request_relay::try_place() {
    if (!waiting_ || done_) {
        return;
    }
    if (admitted_.terms == nullptr) {
        start();
    } else {
        place();
    }
}

void request_relay::place() {
    const instant now = services_.timers.now();
    work_key_ = stable_hash(request_.id, static_cast<std::uint64_t>(attempts_));
    const placement_decision decision =
        choice_.choose(request_, admitted_, work_key_, excluded_, deadline_);
    switch (decision.outcome) {
        case placement_decision::verdict::place:
            end_waiting();
            dispatch(decision);
            return;
        case placement_decision::verdict::refuse:
            give_up(decision);
            return;
        case placement_decision::verdict::wait:
            break;
    }
    if (now >= patient_until_ || (!decision.answer_expected && now >= wait_until_)) {
        give_up(decision);
        return;
    }
    begin_waiting(decision);
}

void request_relay::give_up(const placement_decision& decision) {
    log_.not_placed(admitted_, decision, attempts_, false);
    retry_after_ = std::max(decision.retry_after, no_room_delay);
    if (begun_) {
        conclude(next_step::abort, decision.reason);
    } else {
        conclude(may_have_run_ ? next_step::report_failure : next_step::refuse, decision.reason);
    }
}

void request_relay::begin_waiting(const placement_decision& decision) {
    if (!waiting_) {
        log_.not_placed(admitted_, decision, attempts_, true);
        if (decision.patience != duration::max()) {
            patient_until_ = services_.timers.now() + decision.patience;
        }
    }
    waiting_ = true;
    if (const engine_profile* profile = engine()) {
        work_.wait(work_key_, *profile, request_.prompt_tokens.value_or(0),
                   request_.received_at + admitted_.terms->target);
    }
}

void request_relay::end_waiting() {
    patient_until_ = instant::max();
    if (std::exchange(waiting_, false)) {
        work_.advance(work_phase::ended);
    }
}

const engine_profile* request_relay::engine() const {
    const bool known = admitted_.service != nullptr && admitted_.service->engine;
    return known ? &*admitted_.service->engine : nullptr;
}

void request_relay::dispatch(const placement_decision& decision) {
    decision_ = decision;
    work_.dispatch(work_key_, decision, request_, engine(), *admitted_.terms,
                   services_.timers.now());
    const engine_profile* profile = engine();
    if (profile == nullptr || read_time(*profile, request_.prompt_tokens.value_or(0)) <= long_read) {
        begin_attempt();
        return;
    }
    services_.timers.after(claim_time, [this, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired() && !done_) {
            claimed();
        }
    });
}

void request_relay::claimed() {
    if (engines_listed() && !work_.contested()) {
        begin_attempt();
        return;
    }
    log_.claim_lost(decision_);
    work_.advance(work_phase::ended);
    place();
}

bool request_relay::engines_listed() const {
    const auto listed = [this](const std::string& id) {
        const upstream_entry* entry = services_.upstreams.find(id);
        return entry != nullptr && entry->state == upstream_state::ready;
    };
    return listed(decision_.engine) &&
           std::all_of(decision_.helpers.begin(), decision_.helpers.end(),
                       [&listed](const placement_part& part) { return listed(part.engine); });
}

void request_relay::begin_attempt() {
    ++attempts_;
    if (attempts_ == 1) {
        services_.metrics.placed(admitted_.rank, services_.timers.now() - request_.received_at);
    }
    upstream_ = decision_.engine;
    sent_at_ = services_.timers.now();
    progress_at_ = sent_at_;
    expected_first_ = decision_.first_event;
    streaming_ = false;
    answer_ = {};
    body_.clear();
    if (decision_.reserved_tokens > 0) {
        reserve(decision_);
    } else {
        send();
    }
}

void request_relay::reserve(const placement_decision& decision) {
    const std::string id = services_.host + "-" + std::to_string(work_key_);
    std::vector<memory_claim> claims = memory_claims(decision, services_.upstreams, id);
    memory_ =
        std::make_unique<memory_reservation>(services_.orders, services_.timers, std::move(claims),
                                             [this](bool held) { reserved(held); });
    memory_->start();
}

void request_relay::reserved(bool held) {
    const bool listed = services_.upstreams.find(upstream_) != nullptr;
    if (held && listed) {
        send();
        return;
    }
    // Ending the reservation from within its own call has to wait until that has returned.
    services_.timers.after(duration::zero(), [this, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) {
            at_fault_ = engine_at(memory_->refused_by());
            attempt_failed(begun_ ? attempt_outcome::broken_stream : attempt_outcome::not_sent,
                           "memory not reserved");
        }
    });
}

void request_relay::send() {
    const upstream_entry* entry = services_.upstreams.find(upstream_);
    const instant now = services_.timers.now();
    upstream_terms terms;
    terms.upstream = entry->id;
    terms.customer = admitted_.customer;
    terms.time_left = deadline_ - now;
    terms.urgency = std::min(max_urgency, admitted_.rank * urgencies_per_rank);
    terms.last_event_id = begun_ ? std::to_string(events_.last_id()) : request_.last_event_id;
    if (memory_) {
        for (const memory_claim& claim : memory_->claims()) {
            terms.helpers.push_back({claim.engine, claim.id});
        }
    } else {
        for (const placement_part& part : decision_.helpers) {
            terms.helpers.push_back({services_.upstreams.find(part.engine)->address, ""});
        }
    }
    services_.health.on_sent(upstream_id(entry->id), now);
    log_.dispatched(admitted_, decision_, attempts_);
    const bool new_connection = !repeatable();
    exchange_ = services_.connector.open(*entry, services_.format.write_request(request_, terms),
                                         request_.body, new_connection, *this);
}

void request_relay::on_head(response_head head) {
    answer_ = services_.format.read_answer(std::move(head));
    progress_at_ = services_.timers.now();
    if (!answer_.request.empty() && answer_.request != request_.id) {
        attempt_failed(attempt_outcome::unknown, "answer of another request");
        return;
    }
    if (answer_.misdirected || answer_.not_executed) {
        note_fault();
        attempt_failed(begun_ ? attempt_outcome::broken_stream : attempt_outcome::declined,
                       "declined with " + std::to_string(answer_.head.status));
        return;
    }
    const int status = answer_.head.status;
    if (is_success(status) && !answer_.sealed) {
        attempt_failed(begun_ ? attempt_outcome::broken_stream : attempt_outcome::unknown,
                       "success without proof");
        return;
    }
    if (begun_ && !is_success(status)) {
        attempt_failed(attempt_outcome::broken_stream, "status " + std::to_string(status));
        return;
    }
    streaming_ = admitted_.terms->streams() && is_success(status);
    if (status >= status_server_error && repeatable()) {
        attempt_failed(attempt_outcome::failed, "status " + std::to_string(status));
    }
}

void request_relay::note_fault() {
    if (answer_.at_fault.empty()) {
        return;
    }
    at_fault_ = engine_at(answer_.at_fault);
    if (at_fault_ != upstream_) {
        services_.health.on_result(upstream_id(at_fault_), attempt_evidence::failed,
                                   services_.timers.now());
    }
}

std::string request_relay::engine_at(const network_address& address) const {
    for (const placement_part& part : decision_.helpers) {
        const upstream_entry* entry = services_.upstreams.find(part.engine);
        if (entry != nullptr && entry->address == address) {
            return part.engine;
        }
    }
    return upstream_;
}

void request_relay::on_body(std::string_view bytes) {
    progress_at_ = services_.timers.now();
    if (streaming_) {
        pass_events(bytes);
    } else {
        body_.append(bytes);
    }
}

void request_relay::pass_events(std::string_view bytes) {
    const std::int64_t passed_before = events_.count();
    const std::string events = events_.take(bytes);
    if (events_.out_of_order()) {
        attempt_failed(begun_ ? attempt_outcome::broken_stream : attempt_outcome::unknown,
                       "events out of order");
        return;
    }
    if (events.empty()) {
        return;
    }
    if (!begun_) {
        begun_ = true;
        services_.metrics.first_token(admitted_.rank, request_.prompt_tokens.value_or(0),
                                      progress_at_ - request_.received_at);
        sink_.begin(answer_.head, events);
    } else {
        services_.metrics.token_gap(progress_at_ - events_at_, 1);
        observe_pace(events_.count() - passed_before);
        sink_.write(events);
    }
    events_at_ = progress_at_;
    if (work_.reading()) {
        log_.first_event(upstream_, progress_at_ - sent_at_, expected_first_);
        work_.advance(work_phase::writing);
    }
}

void request_relay::observe_pace(std::int64_t events) {
    const engine_profile* profile = engine();
    const engine_load& load = services_.board.load(upstream_);
    // Reading makes passes longer, and so do engines that hold parts of the prompt.
    const bool only_writes = load.pending_read(progress_at_) == duration::zero();
    if (profile == nullptr || events <= 0 || !only_writes || !decision_.helpers.empty()) {
        return;
    }
    const duration pass = write_pass_time(*profile, load.writers(), load.writer_context());
    const double ratio =
        to_seconds(progress_at_ - events_at_) / static_cast<double>(events) / to_seconds(pass);
    if (services_.board.pace().observe(upstream_, ratio, progress_at_)) {
        log_.pace_changed(upstream_, services_.board.pace().of(upstream_, progress_at_));
    }
}

void request_relay::on_end() {
    services_.health.on_result(upstream_id(upstream_), attempt_evidence::answered,
                               services_.timers.now());
    exchange_.reset();
    memory_.reset();
    if (streaming_) {
        finish_stream();
    } else {
        finish_answer();
    }
}

void request_relay::finish_stream() {
    if (events_.has_partial()) {
        attempt_failed(begun_ ? attempt_outcome::broken_stream : attempt_outcome::unknown,
                       "stream ended inside an event");
        return;
    }
    work_.advance(work_phase::ended);
    if (!begun_) {
        sink_.begin(answer_.head, "");
    }
    services_.metrics.answered();
    log_end("answered", answer_.head.status, "");
    sink_.finish();
}

void request_relay::finish_answer() {
    work_.advance(work_phase::ended);
    services_.metrics.answered();
    log_end("answered", answer_.head.status, "");
    sink_.send(answer_.head, std::move(body_));
}

void request_relay::on_failure(const exchange_failure& failure) {
    const attempt_evidence evidence = failure.reused_connection
                                          ? attempt_evidence::stalled_reused_connection
                                          : attempt_evidence::failed;
    services_.health.on_result(upstream_id(upstream_), evidence, services_.timers.now());
    attempt_outcome outcome = attempt_outcome::unknown;
    if (begun_) {
        outcome = attempt_outcome::broken_stream;
    } else if (!failure.sent) {
        outcome = attempt_outcome::not_sent;
    }
    attempt_failed(outcome, failure.reason);
}

next_step request_relay::step_after(attempt_outcome outcome) {
    const instant now = services_.timers.now();
    const bool ran_nothing =
        outcome == attempt_outcome::not_sent || outcome == attempt_outcome::declined;
    const int counted = counted_attempts_ + (ran_nothing ? 0 : 1);
    retry_facts facts;
    facts.outcome = outcome;
    facts.repeatable = repeatable();
    facts.may_have_run = may_have_run_;
    facts.attempts_left = counted < admitted_.terms->max_attempts &&
                          attempts_ < admitted_.terms->max_attempts + max_declined_attempts;
    facts.time_left = deadline_ - now > min_attempt_time;
    facts.budget_left = true;
    const next_step step = decide_next_step(facts);
    if (step != next_step::retry || outcome == attempt_outcome::not_sent) {
        return step;
    }
    facts.budget_left = services_.budget.try_take(admitted_.service_name, now);
    return decide_next_step(facts);
}

void request_relay::attempt_failed(attempt_outcome outcome, const std::string& reason) {
    end_attempt(outcome, step_after(outcome), reason);
}

void request_relay::end_attempt(attempt_outcome outcome, next_step step,
                                const std::string& reason) {
    log_.attempt_failed(upstream_, at_fault_, attempts_, reason, services_.timers.now() - sent_at_,
                        step == next_step::retry);
    if (step == next_step::forward) {
        return;
    }
    exchange_.reset();
    memory_.reset();
    work_.advance(work_phase::ended);
    const bool ran_nothing =
        outcome == attempt_outcome::not_sent || outcome == attempt_outcome::declined;
    if (!ran_nothing) {
        ++counted_attempts_;
        may_have_run_ = true;
    }
    conclude(step, reason);
}

void request_relay::conclude(next_step step, const std::string& reason) {
    switch (step) {
        case next_step::retry:
            services_.metrics.retried(reason);
            events_.drop_partial();
            excluded_ = std::exchange(at_fault_, "");
            if (excluded_.empty()) {
                excluded_ = upstream_;
            }
            wait_until_ = std::min(std::max(wait_until_, services_.timers.now() + retry_wait),
                                   deadline_ - min_attempt_time);
            place();
            return;
        case next_step::refuse:
            refuse({status_unavailable, "no_room", retry_after_}, reason);
            return;
        case next_step::report_failure:
            answer_failure(status_bad_gateway, "upstream_failed", reason);
            return;
        case next_step::abort:
            log_end("stream_broken", 0, reason);
            sink_.abort();
            return;
        case next_step::forward:
            return;
    }
}

void request_relay::check_time() {
    if (done_ || admitted_.terms == nullptr) {
        return;
    }
    const instant now = services_.timers.now();
    if (now >= deadline_) {
        time_out();
    } else if (exchange_ && repeatable()) {
        check_progress(now);
    }
}

void request_relay::time_out() {
    may_have_run_ = may_have_run_ || exchange_ != nullptr;
    exchange_.reset();
    memory_.reset();
    work_.advance(work_phase::ended);
    end_waiting();
    if (begun_) {
        conclude(next_step::abort, "deadline passed");
    } else if (may_have_run_) {
        answer_failure(status_timeout, "deadline_passed");
    } else {
        refuse({status_unavailable, "deadline_passed", {}});
    }
}

void request_relay::check_progress(instant now) {
    stall_facts facts;
    facts.streams = admitted_.terms->streams();
    facts.reading = work_.reading();
    facts.target = admitted_.terms->target;
    facts.timeout = admitted_.terms->timeout;
    facts.target_gap = admitted_.terms->target_gap;
    facts.expected_first = expected_first_;
    if (const engine_profile* profile = engine()) {
        facts.whole_read = read_time(*profile, request_.prompt_tokens.value_or(0));
    }
    if (now - progress_at_ < stall_patience(facts)) {
        return;
    }
    const attempt_outcome outcome =
        begun_ ? attempt_outcome::broken_stream : attempt_outcome::unknown;
    progress_at_ = now;
    services_.health.on_result(upstream_id(upstream_), attempt_evidence::failed, now);
    // A silent upstream may still answer: it is left only for another one.
    const next_step step = step_after(outcome);
    if (step == next_step::retry) {
        end_attempt(outcome, step, "upstream silent");
    }
}

void request_relay::refuse(const rejection& cause, const std::string& detail) {
    services_.metrics.refused(cause.reason);
    log_end("refused", cause.status, cause.reason, detail);
    const response_head head =
        services_.format.own_answer(cause.status, cause.retry_after, request_.id);
    sink_.send(head, std::string(R"({"error":")") + cause.reason + "\"}");
}

void request_relay::answer_failure(int status, const char* reason, const std::string& detail) {
    services_.metrics.refused(reason);
    log_end("failed", status, reason, detail);
    const response_head head = services_.format.own_answer(status, {}, request_.id);
    sink_.send(head, std::string(R"({"error":")") + reason + "\"}");
}

void request_relay::log_end(const char* outcome, int status, const std::string& reason,
                            const std::string& detail) {
    done_ = true;
    end_waiting();
    log_.ended(admitted_, {outcome, status, reason, detail, upstream_, attempts_, may_have_run_,
                           events_.count()});
}

}  // namespace fuchsiaquay

#include "servers/relay/upstream_attempt.hpp"

#include <algorithm>
#include <exception>
#include <utility>
#include <vector>

#include "core/fleet/upstream_entry.hpp"
#include "core/health/attempt_evidence.hpp"
#include "core/health/upstream_health.hpp"
#include "core/health/upstream_notices.hpp"
#include "core/identity/names.hpp"
#include "core/relay/caller_request.hpp"
#include "core/relay/connect_timeout.hpp"
#include "core/relay/relay_memory.hpp"
#include "servers/fleet/engine_work_table.hpp"
#include "servers/fleet/upstream_registry.hpp"
#include "servers/relay/admission_result.hpp"
#include "servers/relay/attempt_listener.hpp"
#include "servers/relay/connection_options.hpp"
#include "servers/relay/engine_reservations.hpp"
#include "servers/relay/evacuation_guard.hpp"
#include "servers/relay/exchange_failure.hpp"
#include "servers/relay/relay_services.hpp"
#include "servers/relay/request_format.hpp"
#include "servers/relay/request_log.hpp"
#include "servers/relay/upstream_connector.hpp"
#include "servers/relay/upstream_request_metadata.hpp"
#include "servers/request_metrics.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

namespace {

constexpr int status_success_first = 200;
constexpr int status_success_last = 299;
constexpr int status_server_error = 500;
/// Number of urgency levels in the upstreams' interface for each rank.
constexpr int urgencies_per_rank = 3;
constexpr int max_urgency = 9;
/// An answer has begun soundly once events arrive later than this multiple of the target gap after
/// the first one.
constexpr int gaps_of_beginning = 2;
/// Maximum size of a response that is not a stream. Such a response is buffered until it is
/// complete, so that a truncated one is detected.
constexpr std::size_t max_response_bytes = 8'388'608;

bool is_success(int status) {
    return status >= status_success_first && status <= status_success_last;
}

}  // namespace

upstream_attempt::upstream_attempt(const relay_services& services, const caller_request& request,
                                   const admission_result& admitted, const request_log& log,
                                   attempt_parameters parameters, attempt_listener& listener)
    : services_(services),
      request_(request),
      admitted_(admitted),
      log_(log),
      parameters_(std::move(parameters)),
      listener_(listener),
      sent_at_(services.timers.now()),
      progress_at_(sent_at_) {}

upstream_attempt::~upstream_attempt() {
    services_.memory.remove(*this);
}

void upstream_attempt::start() {
    if (!evacuation_guard(services_).allows(parameters_.decision)) {
        fail_later(attempt_outcome::not_sent, "data centre evacuated");
        return;
    }
    if (parameters_.decision.reserved_tokens > 0) {
        reserve();
    } else {
        send();
    }
}

void upstream_attempt::reserve() {
    const std::string id = services_.host + "-" + std::to_string(parameters_.work_key);
    std::vector<engine_reservation> reservations =
        make_engine_reservations(parameters_.decision, services_.upstreams, id);
    memory_ = std::make_unique<memory_reservation>(
        services_.memory_client, services_.timers, std::move(reservations),
        [this](bool held) { on_memory_reserved(held); },
        [this] { reservation_failed(attempt_outcome::unknown, "memory not renewed"); });
    memory_->start();
}

void upstream_attempt::on_memory_reserved(bool held) {
    const bool listed = services_.upstreams.find(upstream()) != nullptr;
    if (held && listed && evacuation_guard(services_).allows(parameters_.decision)) {
        send();
        return;
    }
    if (held && listed) {
        // No engine is at fault.
        fail_later(attempt_outcome::not_sent, "data centre evacuated");
        return;
    }
    reservation_failed(attempt_outcome::not_sent, "memory not reserved");
}

void upstream_attempt::reservation_failed(attempt_outcome outcome, const char* reason) {
    // Deferred, because the reservation must not be destroyed from within its own callback.
    services_.timers.after(duration::zero(),
                           [this, outcome, reason, alive = std::weak_ptr<int>(alive_)] {
                               if (!alive.expired() && memory_) {
                                   at_fault_ = engine_by_address(memory_->failed_engine());
                                   listener_.on_attempt_failed(*this, outcome, reason);
                               }
                           });
}

void upstream_attempt::send() {
    const upstream_entry* entry = services_.upstreams.find(upstream());
    const instant now = services_.timers.now();
    lifetime_ = entry->lifetime();
    address_ = entry->address;
    upstream_request_metadata metadata;
    metadata.upstream = entry->id;
    metadata.customer = admitted_.customer;
    metadata.time_left = parameters_.deadline - now;
    metadata.urgency = std::min(max_urgency, admitted_.rank * urgencies_per_rank);
    metadata.last_event_id = parameters_.last_event_id;
    if (memory_) {
        for (const engine_reservation& reservation : memory_->reservations()) {
            metadata.helpers.push_back({reservation.engine, reservation.id});
        }
    } else {
        for (const placement_part& part : parameters_.decision.helpers) {
            metadata.helpers.push_back({services_.upstreams.find(part.engine)->address, ""});
        }
    }
    services_.health.on_sent(upstream_id(entry->id), now);
    log_.dispatched(admitted_, parameters_.decision, parameters_.number);
    connection_options options;
    options.new_connection = !admitted_.matched_route->repeatable();
    options.connect_timeout = connect_timeout(admitted_.matched_route->target);
    try {
        exchange_ =
            services_.connector.open(*entry, services_.format.write_request(request_, metadata),
                                     request_.body, options, *this);
        sent_ = true;
    } catch (const std::exception& error) {
        fail_later(attempt_outcome::not_sent, std::string("open: ") + error.what());
    }
}

void upstream_attempt::fail_later(attempt_outcome outcome, const std::string& reason) {
    services_.timers.after(duration::zero(),
                           [this, outcome, reason, alive = std::weak_ptr<int>(alive_)] {
                               if (!alive.expired()) {
                                   listener_.on_attempt_failed(*this, outcome, reason);
                               }
                           });
}

void upstream_attempt::on_head(response_head head) {
    response_ = services_.format.read_response(std::move(head));
    progress_at_ = services_.timers.now();
    if (const char* mismatch = find_mismatch()) {
        listener_.on_attempt_failed(*this, attempt_outcome::unknown, mismatch);
        return;
    }
    record_notices();
    const int status = response_.head.status;
    if (response_.declined()) {
        record_fault();
        listener_.on_attempt_failed(*this, attempt_outcome::declined,
                                    "declined with " + std::to_string(status));
        return;
    }
    if (response_.status_promises_not_run) {
        // Forwarding the status would make a promise that the upstream did not make.
        listener_.on_attempt_failed(*this, attempt_outcome::unknown,
                                    "status " + std::to_string(status) + " without a refusal");
        return;
    }
    if (is_success(status) && !response_.has_execution_proof) {
        listener_.on_attempt_failed(*this, attempt_outcome::unknown, "success without proof");
        return;
    }
    streaming_ = admitted_.matched_route->streams() && is_success(status);
    const bool failed = status >= status_server_error && admitted_.matched_route->repeatable();
    if (failed || (parameters_.resumes && !is_success(status))) {
        listener_.on_attempt_failed(*this, attempt_outcome::failed,
                                    "status " + std::to_string(status));
    }
}

const char* upstream_attempt::find_mismatch() const {
    const bool named = !response_.request.empty();
    if (named && response_.request != request_.id) {
        return "answer of another request";
    }
    if (!named && exchange_->reused_connection()) {
        return "answer without the id of the request";
    }
    // A success ends the request and a refusal promises that it never runs, so neither may be a
    // repetition of the response to another attempt. Other failures promise nothing.
    const bool decides = response_.declined() || is_success(response_.head.status);
    if (!named && decides && response_.reports_request && !request_.id.empty()) {
        return "answer without the id of the request";
    }
    const bool may_be_repeated = response_.declined() && parameters_.sent_before;
    return may_be_repeated ? "refusal that may be of an earlier attempt" : nullptr;
}

void upstream_attempt::record_notices() {
    const upstream_entry* entry = services_.upstreams.find(upstream());
    if (entry == nullptr || response_.misdirected) {
        return;
    }
    note_rate_limit();
    if (response_.leaving && services_.notices.on_leaving(*entry)) {
        log_.upstream_leaves(upstream());
    }
    if (response_.pause > duration::zero()) {
        services_.notices.on_pause(*entry, response_.pause, services_.timers.now());
        log_.upstream_pauses(upstream(), response_.pause);
    }
}

void upstream_attempt::note_rate_limit() {
    // A malformed value leaves the known limit in force. So does an answer that is not the
    // upstream's own, which need not name a limit.
    const bool names_none =
        !response_.rate_limit && !response_.rate_limit_malformed && response_.has_execution_proof;
    if (!response_.rate_limit && !names_none) {
        return;
    }
    if (services_.work_table.rate_limits().on_answer(upstream(), response_.rate_limit,
                                                     services_.timers.now())) {
        log_.rate_limit_changed(upstream(), response_.rate_limit);
    }
}

void upstream_attempt::record_fault() {
    if (response_.at_fault.empty()) {
        return;
    }
    at_fault_ = engine_by_address(response_.at_fault);
    if (at_fault_ != upstream()) {
        services_.health.on_result(upstream_id(at_fault_), attempt_evidence::failed,
                                   services_.timers.now());
    }
}

std::string upstream_attempt::engine_by_address(const network_address& address) const {
    for (const placement_part& part : parameters_.decision.helpers) {
        const upstream_entry* entry = services_.upstreams.find(part.engine);
        if (entry != nullptr && entry->address == address) {
            return part.engine;
        }
    }
    return upstream();
}

void upstream_attempt::on_body(std::string_view bytes) {
    if (streaming_) {
        listener_.on_stream_bytes(*this, bytes);
        return;
    }
    progress_at_ = services_.timers.now();
    if (body_.size() + bytes.size() > max_response_bytes) {
        listener_.on_attempt_failed(*this, attempt_outcome::unknown, "answer too long");
        return;
    }
    body_.append(bytes);
    record_buffered(body_.capacity());
}

std::string upstream_attempt::take_body() {
    record_buffered(0);
    return std::move(body_);
}

void upstream_attempt::record_buffered(std::size_t bytes) {
    if (bytes != buffered_) {
        buffered_ = bytes;
        services_.memory.set(*this, {bytes, request_.api_key});
    }
}

bool upstream_attempt::on_memory_exceeded() {
    services_.timers.after(duration::zero(), [this, alive = std::weak_ptr<int>(alive_)] {
        // The response may have become complete meanwhile.
        if (!alive.expired() && exchange_) {
            listener_.on_attempt_failed(*this, attempt_outcome::unknown,
                                        "memory for answers exceeded");
        }
    });
    return true;
}

void upstream_attempt::record_progress() {
    progress_at_ = services_.timers.now();
    first_event_at_ = first_event_at_.value_or(progress_at_);
    const duration beginning = admitted_.matched_route->target_gap * gaps_of_beginning;
    if (!answered_ && progress_at_ - *first_event_at_ >= beginning) {
        note_answered();
    }
}

void upstream_attempt::note_answered() {
    answered_ = true;
    services_.work_table.quarantine().on_answered(request_.prompt_parts, services_.timers.now());
}

void upstream_attempt::note_connection_ended(bool looked_complete) {
    if (answered_) {
        return;
    }
    const instant now = services_.timers.now();
    services_.work_table.quarantine().on_connection_ended({lifetime_, request_.prompt_subject,
                                                           request_.prompt_parts, now,
                                                           looked_complete, now - sent_at_});
}

void upstream_attempt::note_return(instant now) {
    const service_profile* service = admitted_.service;
    const bool was_closed =
        services_.health.state(upstream_id(upstream()), now) == breaker_state::closed;
    if (was_closed || service == nullptr || service->cold_requests_per_s <= 0.0) {
        return;
    }
    // It may have restarted, which its entry tells later.
    if (services_.work_table.cold_budget().on_cold(lifetime_, now + service->cold_time, now)) {
        log_.may_be_cold(upstream(), service->cold_time);
    }
}

bool upstream_attempt::was_replaced() const {
    const upstream_entry* entry = services_.upstreams.find(upstream());
    const bool restarted = entry != nullptr && entry->lifetime() != lifetime_;
    return restarted || services_.upstreams.reassigned_since(sent_at_, address_, lifetime_);
}

void upstream_attempt::on_end() {
    if (response_.head.ends_with_connection && was_replaced()) {
        // The process that the connector has reached after the end is another one.
        exchange_failure failure{true, exchange_->reused_connection(),
                                 "answer: end not confirmed: another process has its address"};
        failure.fault = answer_fault::unconfirmed;
        on_failure(failure);
        return;
    }
    const instant now = services_.timers.now();
    note_return(now);
    services_.metrics.answer_received(response_.head.ended_by());
    services_.health.on_result(upstream_id(upstream()), attempt_evidence::answered, now);
    if (response_.head.ends_with_connection) {
        note_connection_ended(first_event_at_.has_value());
    } else if (is_success(response_.head.status)) {
        note_answered();
    }
    exchange_.reset();
    memory_.reset();
    listener_.on_response_complete(*this);
}

void upstream_attempt::on_failure(const exchange_failure& failure) {
    const attempt_evidence broken = failure.reused_connection
                                        ? attempt_evidence::stalled_reused_connection
                                        : attempt_evidence::failed;
    const attempt_evidence evidence = failure.refused ? attempt_evidence::refused : broken;
    const instant now = services_.timers.now();
    services_.health.on_result(upstream_id(upstream()), evidence, now);
    if (failure.fault != answer_fault::none) {
        services_.metrics.answer_rejected(name_of(failure.fault));
    }
    if (failure.refused) {
        services_.work_table.quarantine().on_engine_gone(lifetime_, now);
    } else if (failure.sent) {
        note_connection_ended(false);
    }
    listener_.on_attempt_failed(
        *this, failure.sent ? attempt_outcome::unknown : attempt_outcome::not_sent, failure.reason);
}

}  // namespace fuchsiaquay

#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/fleet/network_address.hpp"
#include "core/fleet/upstream_lifetime.hpp"
#include "core/relay/attempt_outcome.hpp"
#include "core/relay/memory_holder.hpp"
#include "servers/relay/attempt_parameters.hpp"
#include "servers/relay/exchange_listener.hpp"
#include "servers/relay/memory_reservation.hpp"
#include "servers/relay/upstream_exchange.hpp"
#include "servers/relay/upstream_response.hpp"

namespace fuchsiaquay {

class attempt_listener;
class request_log;
struct admission_result;
struct caller_request;
struct relay_services;

/// One attempt to process a request at an upstream, or at an engine and its helpers. Reserves
/// memory if needed, sends the request and reads the response. The destructor closes the exchange
/// and releases the memory. All referenced objects must outlive the attempt.
class upstream_attempt final : private exchange_listener, private memory_holder {
public:
    upstream_attempt(const relay_services& services, const caller_request& request,
                     const admission_result& admitted, const request_log& log,
                     attempt_parameters parameters, attempt_listener& listener);
    upstream_attempt(const upstream_attempt&) = delete;
    upstream_attempt& operator=(const upstream_attempt&) = delete;
    ~upstream_attempt() override;

    void start();

    /// The upstream that answers.
    const std::string& upstream() const noexcept { return parameters_.decision.engine; }
    /// Engine that caused the attempt to fail; empty if it was `upstream()`.
    const std::string& at_fault() const noexcept { return at_fault_; }
    const placement_decision& decision() const noexcept { return parameters_.decision; }
    /// Whether the request was sent, at least in part.
    bool sent() const noexcept { return sent_; }
    instant sent_at() const noexcept { return sent_at_; }
    /// When the response last made progress: its head, a complete event, or body bytes if it is not
    /// a stream.
    instant progress_at() const noexcept { return progress_at_; }
    /// Records that a complete event arrived. Single bytes are not progress, because a stalled
    /// upstream may still send one occasionally.
    void record_progress();
    bool streaming() const noexcept { return streaming_; }
    const response_head& head() const noexcept { return response_.head; }
    std::string take_body();
    /// Records how much memory the buffered part of the response takes.
    void record_buffered(std::size_t bytes);

private:
    void on_head(response_head head) override;
    void on_body(std::string_view bytes) override;
    void on_end() override;
    void on_failure(const exchange_failure& failure) override;

    void reserve();
    void on_memory_reserved(bool held);
    /// Reports failure because an engine denied its reservation or let it expire.
    void reservation_failed(attempt_outcome outcome, const char* reason);
    void send();
    /// Reports a failure once the caller of this function has returned.
    void fail_later(attempt_outcome outcome, const std::string& reason);
    /// Returns why the response may belong to another attempt; null if it belongs to this one.
    const char* find_mismatch() const;
    /// Records that the engine went on after it had begun to answer.
    void note_answered();
    /// Treats an upstream that answers again after failures as cold.
    void note_return(instant now);
    /// Records that the connection ended before `note_answered` was called.
    void note_connection_ended(bool looked_complete);
    /// Whether another process may serve at the address to which the request was sent.
    bool was_replaced() const;
    bool on_memory_exceeded() override;
    /// Records the limit that the response names, or that it names none.
    void note_rate_limit();
    /// Records which engine the response reports as the cause of a failure.
    void record_fault();
    /// Records that the upstream announced a pause or that it is leaving.
    void record_notices();
    /// Returns the id of the attempt's engine at `address`, or `upstream()` if there is none.
    std::string engine_by_address(const network_address& address) const;

    const relay_services& services_;
    const caller_request& request_;
    const admission_result& admitted_;
    const request_log& log_;
    const attempt_parameters parameters_;
    attempt_listener& listener_;
    /// Memory on several engines, reserved from before the request is sent until its end.
    std::unique_ptr<memory_reservation> memory_;
    std::unique_ptr<upstream_exchange> exchange_;
    std::string at_fault_;
    /// The process to which the request is sent.
    upstream_lifetime lifetime_;
    network_address address_;
    instant sent_at_{};
    instant progress_at_{};
    upstream_response response_;
    std::string body_;
    /// Memory of the part of the response that is buffered for this attempt.
    std::size_t buffered_ = 0;
    /// When the first event arrived; absent before.
    std::optional<instant> first_event_at_;
    bool answered_ = false;
    bool streaming_ = false;
    bool sent_ = false;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace fuchsiaquay

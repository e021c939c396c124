#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "core/relay/attempt_outcome.hpp"
#include "servers/relay/attempt_parameters.hpp"
#include "servers/relay/exchange_listener.hpp"
#include "servers/relay/memory_reservation.hpp"
#include "servers/relay/upstream_answer.hpp"
#include "servers/relay/upstream_exchange.hpp"

namespace fuchsiaquay {

class attempt_listener;
class request_log;
struct admission_result;
struct caller_request;
struct relay_services;

/// One request at one upstream, or at one engine and its helpers: reserves memory where that is
/// needed, sends the request and reads the answer. Its end closes the exchange and gives the memory
/// back. Everything that is referenced outlives it.
class upstream_attempt final : private exchange_listener {
public:
    upstream_attempt(const relay_services& services, const caller_request& request,
                     const admission_result& admitted, const request_log& log,
                     attempt_parameters terms, attempt_listener& listener);
    upstream_attempt(const upstream_attempt&) = delete;
    upstream_attempt& operator=(const upstream_attempt&) = delete;
    ~upstream_attempt() override;

    void start();

    /// The upstream that answers.
    const std::string& upstream() const noexcept { return terms_.decision.engine; }
    /// Engine that made the attempt fail, where that is not `upstream()`; else empty.
    const std::string& at_fault() const noexcept { return at_fault_; }
    const placement_decision& decision() const noexcept { return terms_.decision; }
    /// The request has left this host, at least in part.
    bool sent() const noexcept { return exchange_ != nullptr; }
    instant sent_at() const noexcept { return sent_at_; }
    /// When the answer last came further: its head, a whole event, or bytes of another body.
    instant progress_at() const noexcept { return progress_at_; }
    /// A whole event came. Bytes alone are none: a stalled upstream may still send one now and
    /// then.
    void record_progress();
    bool streaming() const noexcept { return streaming_; }
    const response_head& head() const noexcept { return answer_.head; }
    std::string take_body() { return std::move(body_); }

private:
    void on_head(response_head head) override;
    void on_body(std::string_view bytes) override;
    void on_end() override;
    void on_failure(const exchange_failure& failure) override;

    void reserve();
    void on_memory_reserved(bool held);
    /// The attempt fails because of the engine that denied memory or let it lapse.
    void reservation_failed(attempt_outcome outcome, const char* reason);
    void send();
    /// Remembers which engine of several an answer blames.
    void record_fault();
    /// Keeps what the upstream said of itself.
    void record_notices();
    /// Id of the engine at `address` among those of the attempt, the first one where none is.
    std::string engine_by_address(const network_address& address) const;

    const relay_services& services_;
    const caller_request& request_;
    const admission_result& admitted_;
    const request_log& log_;
    const attempt_parameters terms_;
    attempt_listener& listener_;
    /// Memory of several engines, from before the request is sent until its end.
    std::unique_ptr<memory_reservation> memory_;
    std::unique_ptr<upstream_exchange> exchange_;
    std::string at_fault_;
    instant sent_at_{};
    instant progress_at_{};
    upstream_answer answer_;
    std::string body_;
    bool streaming_ = false;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace fuchsiaquay

#include "drivers/traffic/caller_session.hpp"

#include <utility>

#include "core/relay/relay_memory.hpp"
#include "drivers/control/control_loop.hpp"
#include "drivers/net/socket_setup.hpp"
#include "drivers/net/socket_state.hpp"
#include "drivers/traffic/answer_cut.hpp"
#include "servers/decision_log.hpp"
#include "servers/relay/active_request.hpp"
#include "servers/relay/request_format.hpp"
#include "servers/relay/request_handler.hpp"
#include "servers/request_metrics.hpp"

namespace fuchsiaquay {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t read_size = 16'384;
/// Bytes that the kernel keeps for a connection that is not read.
constexpr int receive_buffer_bytes = 131'072;
/// Bytes of pipelined requests that are buffered while a request is served.
constexpr std::size_t max_pipelined_bytes = 65'536;

constexpr int status_bad_request = 400;
constexpr int status_timeout = 408;
constexpr int status_too_large = 413;
constexpr int status_header_too_large = 431;

}  // namespace

caller_session::caller_session(const caller_services& services, asio::ip::tcp::socket socket,
                               end_handler on_end)
    : services_(services), socket_(std::move(socket)), on_end_(std::move(on_end)) {}

caller_session::~caller_session() {
    release_memory();
}

void caller_session::start() {
    set_up_traffic_socket(socket_);
    error_code ignored;
    socket_.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes), ignored);
    prepare_for_request();
    read();
}

void caller_session::prepare_for_request() {
    const caller_limits limits = services_.limits();
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser_->body_limit(limits.body_bytes);
    head_accepted_ = false;
    head_started_ = false;
    response_begun_ = false;
    response_complete_ = false;
    request_read_ = false;
    served_body_bytes_ = 0;
    caller_checked_ = false;
    confirmed_ = true;
    if (giving_up_) {
        release_memory();
    }
    accepted_before_ = accepted_bytes_;
    idle_since_ = services_.loop.now();
}

void caller_session::read() {
    if (reading_ || closed_ || input_.size() > max_pipelined_bytes) {
        return;
    }
    reading_ = true;
    unread_bytes_ = 0;
    socket_.async_read_some(
        input_.prepare(read_size),
        [self = shared_from_this()](const error_code& error, std::size_t bytes) {
            self->reading_ = false;
            self->run_guarded([&] { self->on_read(error, bytes); });
        });
}

void caller_session::on_read(const error_code& error, std::size_t bytes) {
    if (closed_) {
        return;
    }
    if (error) {
        on_read_failed(error);
        return;
    }
    if (closing_) {
        last_input_at_ = services_.loop.now();
        // Nothing of the input is used any more.
        input_.clear();
        input_.shrink_to_fit();
        read();
        return;
    }
    input_.commit(bytes);
    last_input_at_ = services_.loop.now();
    if (request_ == nullptr && !response_complete_) {
        parse();
    }
    read();
    record_memory();
}

void caller_session::on_read_failed(const error_code& error) {
    cut_cause cause = cut_cause::read_failed;
    if (error == asio::error::eof) {
        cause = cut_cause::caller_closed;
    } else if (error == asio::error::connection_reset) {
        cause = cut_cause::caller_reset;
    } else if (error == asio::error::timed_out) {
        cause = cut_cause::caller_unreachable;
    }
    close(cause, "receive: " + error.message());
}

void caller_session::parse() {
    if (!head_started_ && input_.size() > 0) {
        head_started_ = true;
        passed_on_ = false;
        head_started_at_ = services_.loop.now();
    }
    while (input_.size() > 0 && !parser_->is_done() && !giving_up_) {
        error_code error;
        if (head_accepted_) {
            reserve_body_buffer();
        }
        const std::size_t used = parser_->put(input_.data(), error);
        input_.consume(used);
        if (parser_->is_header_done() && !head_accepted_) {
            accept_head();
        }
        // The size of a chunked body is unknown in advance, so that it counts as it grows.
        record_memory();
        if (error == http::error::need_more) {
            break;
        }
        if (error && reject_malformed(error)) {
            return;
        }
    }
    if (giving_up_ || closing_) {
        return;
    }
    if (parser_->is_done()) {
        serve();
    } else if (head_accepted_ && !caller_checked_) {
        check_caller();
    }
}

void caller_session::accept_head() {
    head_accepted_ = true;
    error_code ignored;
    owner_ = socket_.remote_endpoint(ignored).address().to_string();
    const auto& message = parser_->get();
    const auto expect = message.find(http::field::expect);
    if (expect != message.end() &&
        same_header_name(std::string_view(expect->value().data(), expect->value().size()),
                         "100-continue")) {
        output_ += "HTTP/1.1 100 Continue\r\n\r\n";
        flush();
    }
}

void caller_session::check_caller() {
    caller_checked_ = true;
    const caller_request head = read_head();
    const caller_check result = services_.handler.check_caller(head);
    if (result.refused) {
        reject(result.refused->status, result.refused->reason, result.refused->retry_after,
               result.refused->reason);
        return;
    }
    confirmed_ = result.confirmed;
    if (!head.api_key.empty()) {
        owner_ = head.api_key;
    }
    record_memory();
}

bool caller_session::reject_malformed(const error_code& error) {
    if (error == http::error::header_limit) {
        reject(status_header_too_large, "header_too_large");
    } else if (error == http::error::body_limit) {
        reject(status_too_large, "body_too_large");
    } else {
        reject(status_bad_request, "malformed");
    }
    return true;
}

void caller_session::reject(int status, const char* reason, duration retry_after,
                            const char* error) {
    if (!request_read_) {
        request_id_ = read_head().id;
    }
    // The connection may stay open for seconds until its caller has received the response.
    std::string().swap(parser_->get().body());
    served_body_bytes_ = 0;
    release_memory();
    services_.log.write(
        decision_log::level::info, "request_rejected",
        {{"request", request_id_}, {"status", std::to_string(status)}, {"reason", reason}});
    services_.metrics.refused(reason);
    keep_alive_ = false;
    const response_head head =
        services_.format.make_error_response(status, retry_after, request_id_);
    send(head, R"({"error":")" + (error != nullptr ? error : head.reason) + "\"}");
}

caller_request caller_session::read_head() const {
    const auto& message = parser_->get();
    header_list headers;
    for (const auto& field : message) {
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return services_.format.read_request(std::string(message.method_string()),
                                         std::string(message.target()), std::move(headers));
}

void caller_session::serve() {
    caller_request request = read_head();
    auto& message = parser_->get();
    request.body = std::make_shared<const std::string>(std::move(message.body()));
    request.received_at = services_.loop.now();
    served_body_bytes_ = allocated_bytes(*request.body);
    keep_alive_ = message.keep_alive();
    request_id_ = request.id;
    request_read_ = true;
    used_ = true;
    if (!request.api_key.empty()) {
        owner_ = request.api_key;
    }
    record_memory();
    request_ = services_.handler.serve(std::move(request), *this);
}

void caller_session::check_timeouts(instant now) {
    check_output(now);
    check_linger(now);
    check_unread();
    if (closed_ || request_ != nullptr || response_complete_) {
        return;
    }
    const caller_limits limits = services_.limits();
    const bool slow_head =
        head_started_ && !head_accepted_ && now - head_started_at_ > limits.header_timeout;
    const bool idle_too_long = now - idle_since_ > limits.idle_timeout && idle();
    if (slow_head || idle_too_long) {
        close(cut_cause::header_timeout);
    } else if (head_accepted_ && (now - last_input_at_ > limits.idle_timeout ||
                                  now - head_started_at_ > limits.body_timeout)) {
        reject(status_timeout, "body_timeout");
    }
}

void caller_session::close_if_idle() {
    if (idle()) {
        close(cut_cause::host_ended);
    }
}

bool caller_session::idle() {
    // With unread input, closing the connection would send a reset and drop data on the way.
    return request_ == nullptr && !head_started_ && !response_complete_ && !delivering() &&
           unread_bytes(socket_) == 0;
}

void caller_session::close(cut_cause cause, const std::string& reason) {
    if (closed_) {
        return;
    }
    if (answer_incomplete(cause)) {
        report_cut(cause, reason);
    }
    closed_ = true;
    request_.reset();
    release_memory();
    error_code ignored;
    socket_.close(ignored);
    on_end_(shared_from_this());
}

bool caller_session::answer_incomplete(cut_cause cause) {
    if (head_started_ && !closing_) {
        return true;
    }
    // A caller that closes the connection has what it wants of the answer.
    const bool caller_ended = cause == cut_cause::caller_closed || cause == cut_cause::caller_reset;
    return !caller_ended && delivering();
}

void caller_session::report_cut(cut_cause cause, const std::string& reason) {
    answer_cut cut;
    cut.request = head_started_ && !request_read_ && !closing_ ? read_head().id : request_id_;
    cut.cause = cause;
    cut.reason = reason;
    cut.request_read = request_read_ || !head_started_;
    cut.passed_on = passed_on_ || (request_ != nullptr && request_->passed_on());
    cut.answer_ready = response_complete_ || !head_started_;
    cut.accepted_bytes = accepted_bytes_ - accepted_before_;
    cut.buffered_bytes = writing_.size() - written_ + output_.size();
    cut.unacknowledged_bytes = unacknowledged_bytes(socket_);
    cut.age_ms = to_milliseconds(services_.loop.now() - head_started_at_);
    if (request_ != nullptr) {
        request_->on_connection_lost(name_of(cause), is_by_caller(cause));
    }
    report(cut, services_);
}

}  // namespace fuchsiaquay

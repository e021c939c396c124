/// @file
/// The part of `caller_session` that sends responses and ends connections after them.

#include <algorithm>
#include <utility>

#include "drivers/control/control_loop.hpp"
#include "drivers/net/socket_state.hpp"
#include "drivers/traffic/caller_session.hpp"
#include "drivers/traffic/response_text.hpp"
#include "servers/relay/active_request.hpp"

namespace fuchsiaquay {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Bytes of a response that are buffered for a slow caller.
constexpr std::size_t max_output_bytes = 4'194'304;
/// Larger buffers are released once they are written.
constexpr std::size_t max_kept_bytes = 4'096;
/// A caller that has received its last response and sends nothing for this time is done.
constexpr duration linger_quiet = std::chrono::milliseconds(1'000);
/// Maximum time for a caller that has received its last response to go on sending.
constexpr duration max_linger = std::chrono::seconds(10);

}  // namespace

void caller_session::append_head(const response_head& head, std::optional<std::size_t> body_bytes) {
    keep_alive_ = keep_alive_ && !services_.stopping();
    append_response_head(output_, head, keep_alive_, body_bytes);
}

void caller_session::send(const response_head& head, std::string body) {
    append_head(head, body.size());
    output_ += body;
    complete_response();
}

void caller_session::begin(const response_head& head, std::string_view first) {
    response_begun_ = true;
    append_head(head, std::nullopt);
    write(first);
}

void caller_session::write(std::string_view bytes) {
    if (!bytes.empty()) {
        append_chunk(output_, bytes);
    }
    if (output_.size() > max_output_bytes) {
        reset_connection(cut_cause::output_limit);
        return;
    }
    flush();
    record_memory();
}

void caller_session::finish() {
    output_ += last_chunk;
    complete_response();
}

void caller_session::abort() {
    reset_connection(cut_cause::answer_broken);
}

void caller_session::reset_connection(cut_cause cause) {
    // A reset shows the caller that a partial response is not complete.
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    services_.loop.post([self = shared_from_this(), cause] { self->close(cause); });
}

void caller_session::complete_response() {
    response_complete_ = true;
    flush();
}

void caller_session::flush() {
    if (closed_ || !writing_.empty() || output_.empty()) {
        return;
    }
    writing_.swap(output_);
    written_ = 0;
    record_memory();
    if (!std::exchange(output_pending_, true)) {
        output_monitor_.restart(services_.loop.now());
    }
    write_some();
}

void caller_session::write_some() {
    socket_.async_write_some(
        asio::buffer(writing_) + written_,
        [self = shared_from_this()](const error_code& error, std::size_t bytes) {
            self->run_guarded([&] { self->on_written(error, bytes); });
        });
}

void caller_session::on_written(const error_code& error, std::size_t bytes) {
    written_ += bytes;
    accepted_bytes_ += bytes;
    if (error) {
        close(cut_cause::write_failed, "send: " + error.message());
        return;
    }
    if (written_ < writing_.size()) {
        write_some();
        return;
    }
    writing_.clear();
    if (writing_.capacity() > max_kept_bytes) {
        // An assignment would keep the buffer.
        std::string().swap(writing_);
    }
    written_ = 0;
    record_memory();
    on_flushed();
}

void caller_session::on_flushed() {
    if (!output_.empty()) {
        flush();
        return;
    }
    if (!response_complete_ || closed_) {
        return;
    }
    passed_on_ = request_ != nullptr && request_->passed_on();
    request_.reset();
    served_body_bytes_ = 0;
    record_memory();
    if (!keep_alive_) {
        shut_down_output();
        return;
    }
    prepare_for_request();
    parse();
    read();
}

void caller_session::shut_down_output() {
    closing_ = true;
    output_pending_ = true;
    input_.clear();
    error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    read();
}

void caller_session::check_linger(instant now) {
    // Until everything is delivered, `check_output` limits the time.
    if (closed_ || !closing_ || output_pending_) {
        return;
    }
    delivered_at_ = delivered_at_.value_or(now);
    const bool quiet = now - std::max(*delivered_at_, last_input_at_) >= linger_quiet;
    if (quiet || now - *delivered_at_ >= max_linger) {
        close(cut_cause::host_ended);
    }
}

bool caller_session::delivering() {
    return !closed_ && output_pending_ && unacknowledged_bytes(socket_) > 0;
}

void caller_session::check_output(instant now) {
    if (closed_ || !output_pending_) {
        return;
    }
    const bool buffered = !writing_.empty() || !output_.empty();
    switch (output_monitor_.check(socket_, accepted_bytes_, buffered,
                                  services_.limits().idle_timeout, now)) {
        case output_monitor::finding::delivered:
            output_pending_ = false;
            return;
        case output_monitor::finding::sending:
            return;
        case output_monitor::finding::stalled:
            close(cut_cause::caller_stalled, "took no data for the idle time-out");
            return;
        case output_monitor::finding::unreachable:
            close(cut_cause::caller_unreachable, "send: no reply from the caller's host");
            return;
    }
}

}  // namespace fuchsiaquay

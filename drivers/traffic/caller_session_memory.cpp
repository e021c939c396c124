/// @file
/// The part of `caller_session` that accounts for its memory and gives it up.

#include <algorithm>
#include <charconv>
#include <utility>

#include "core/relay/relay_memory.hpp"
#include "drivers/control/control_loop.hpp"
#include "drivers/net/socket_state.hpp"
#include "drivers/traffic/caller_session.hpp"
#include "servers/decision_log.hpp"
#include "servers/relay/active_request.hpp"
#include "servers/relay/request_handler.hpp"

namespace fuchsiaquay {

using boost::system::error_code;

namespace {

/// Buffers up to this size belong to a connection, whose number is limited.
constexpr std::size_t max_connection_input = 32'768;
constexpr std::size_t max_connection_output = 8'192;
/// Bodies from this size on do not double their buffer when they grow.
constexpr std::size_t large_body_bytes = 65'536;

std::size_t beyond(std::size_t bytes, std::size_t part_of_connection) {
    return bytes > part_of_connection ? bytes : 0;
}

}  // namespace

std::size_t caller_session::allocated_bytes(const std::string& text) {
    static const std::size_t inline_capacity = std::string().capacity();
    return text.capacity() > inline_capacity ? text.capacity() : text.size();
}

std::size_t caller_session::request_bytes() const {
    if (request_read_) {
        return served_body_bytes_;
    }
    if (!body_incomplete()) {
        return 0;
    }
    // The buffer is allocated at once if the length is known.
    std::size_t announced = 0;
    const auto length = parser_->get().find(boost::beast::http::field::content_length);
    if (length != parser_->get().end()) {
        const auto text = length->value();
        std::from_chars(text.data(), text.data() + text.size(), announced);
    }
    return std::max(allocated_bytes(parser_->get().body()), announced);
}

std::size_t caller_session::input_bytes() const {
    return beyond(input_.capacity() + (reading_ ? 0 : unread_bytes_), max_connection_input);
}

void caller_session::check_unread() {
    if (!closed_ && !reading_) {
        unread_bytes_ = unread_bytes(socket_);
        record_memory();
    }
}

std::size_t caller_session::output_bytes() const {
    return beyond(output_.capacity() + writing_.capacity(), max_connection_output);
}

void caller_session::record_memory() {
    if (closed_) {
        return;
    }
    const std::size_t bytes = request_bytes() + input_bytes() + output_bytes();
    if (bytes == 0 && !memory_counted_) {
        return;
    }
    memory_counted_ = bytes > 0;
    services_.memory.set(*this, {bytes, owner_, confirmed_});
}

void caller_session::release_memory() {
    giving_up_ = false;
    if (std::exchange(memory_counted_, false)) {
        services_.memory.remove(*this);
    }
}

void caller_session::reserve_body_buffer() {
    std::string& body = parser_->get().body();
    const std::size_t needed = body.size() + input_.size();
    if (needed <= large_body_bytes || needed <= body.capacity()) {
        return;
    }
    // `std::string::reserve` doubles the buffer.
    std::string larger;
    larger.reserve(needed + needed / 2);
    larger.append(body);
    body.swap(larger);
}

bool caller_session::body_incomplete() const {
    return head_accepted_ && !request_read_ && !response_complete_ && !closing_;
}

bool caller_session::on_memory_exceeded() {
    const bool not_run = request_ != nullptr && !request_->passed_on() && !response_complete_ &&
                         output_bytes() == 0 && request_bytes() > 0;
    if (!body_incomplete() && !not_run && output_bytes() == 0 && input_bytes() == 0) {
        return false;
    }
    giving_up_ = true;
    services_.loop.post([self = shared_from_this()] {
        if (!self->closed_ && self->giving_up_) {
            self->run_guarded([&] { self->give_up_memory(); });
        }
    });
    return true;
}

void caller_session::log_memory_exceeded() {
    error_code ignored;
    services_.log.write(decision_log::level::warning, "memory_exceeded",
                        {{"caller", socket_.remote_endpoint(ignored).address().to_string()},
                         {"confirmed", confirmed_ ? "yes" : "no"},
                         {"request_bytes", std::to_string(request_bytes())},
                         {"input_bytes", std::to_string(input_bytes())},
                         {"output_bytes", std::to_string(output_bytes())},
                         {"used", std::to_string(services_.memory.used())},
                         {"limit", std::to_string(services_.memory.limit())}});
}

void caller_session::give_up_memory() {
    giving_up_ = false;
    log_memory_exceeded();
    if (body_incomplete()) {
        reject(status_unavailable, "body_memory", body_memory_retry_after);
        return;
    }
    if (output_bytes() > 0) {
        reset_connection(cut_cause::output_limit);
        return;
    }
    if (request_ != nullptr && !response_complete_ && !response_begun_ && !request_->passed_on()) {
        request_.reset();
        reject(status_unavailable, "request_memory", body_memory_retry_after);
        return;
    }
    if (input_bytes() > 0) {
        reset_connection(cut_cause::input_limit);
        return;
    }
    // The request was passed on meanwhile: the memory counts again, and another caller gives way.
    release_memory();
    record_memory();
}

}  // namespace fuchsiaquay

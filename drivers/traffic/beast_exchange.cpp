#include "drivers/traffic/beast_exchange.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <utility>

#include "core/relay/connection_end_evidence.hpp"
#include "core/relay/process_end_time.hpp"
#include "core/relay/response_status.hpp"
#include "drivers/control/control_loop.hpp"
#include "drivers/net/dial_result.hpp"
#include "drivers/net/socket_state.hpp"
#include "drivers/net/upstream_dial.hpp"
#include "drivers/net/upstream_dialer.hpp"
#include "servers/relay/exchange_listener.hpp"

namespace fuchsiaquay {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Used when the upstream sends no `Keep-Alive` header; upper bound when it does.
constexpr duration default_idle_lifetime = std::chrono::seconds(4);
/// An idle connection is discarded this long before the upstream would close it.
constexpr duration idle_lifetime_margin = std::chrono::milliseconds(1'200);
/// Time for the connection that confirms an end; a lost opening packet is sent again after 1 s.
constexpr duration min_confirm_timeout = std::chrono::milliseconds(1'200);
constexpr std::size_t read_size = 16'384;
constexpr std::uint32_t max_response_header_bytes = 65'536;
/// Bytes buffered while a line of the response's framing is incomplete.
constexpr std::size_t max_unparsed_bytes = 131'072;
/// Bytes of the interim responses before the final one. They carry nothing for the caller.
constexpr std::size_t max_interim_bytes = 262'144;

}  // namespace

beast_exchange::beast_exchange(control_loop& loop, upstream_dialer& dialer,
                               std::shared_ptr<upstream_connection_pool> pool,
                               std::shared_ptr<connection_end_evidence> evidence,
                               const upstream_entry& upstream, std::string head,
                               std::shared_ptr<const std::string> body, exchange_listener& listener)
    : loop_(loop),
      dialer_(dialer),
      pool_(std::move(pool)),
      evidence_(std::move(evidence)),
      upstream_(upstream.lifetime()),
      address_(upstream.address),
      head_(std::move(head)),
      body_(std::move(body)),
      listener_(&listener) {}

void beast_exchange::start(upstream_connection idle, duration connect_timeout) {
    connect_timeout_ = connect_timeout;
    reset_parser();
    if (idle.socket) {
        reused_ = true;
        use(std::move(idle));
        write();
        read();
    } else {
        connect();
    }
}

void beast_exchange::reset_parser() {
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(max_response_header_bytes);
    parser_->body_limit(boost::none);
}

void beast_exchange::connect() {
    dial_ =
        dialer_.dial(address_, connect_timeout_, [self = shared_from_this()](dial_result result) {
            if (self->listener_ != nullptr) {
                self->on_connected(std::move(result));
            }
        });
}

void beast_exchange::on_connected(dial_result result) {
    if (!result.connection.socket) {
        fail({sent_, reused_, result.failure, result.refused});
        return;
    }
    use(std::move(result.connection));
    write();
    read();
}

void beast_exchange::use(upstream_connection connection) {
    socket_ = std::move(connection.socket);
    peer_ = std::move(connection.peer);
}

void beast_exchange::write() {
    sent_ = true;
    std::array<asio::const_buffer, 2> parts{asio::buffer(head_), asio::const_buffer()};
    if (body_) {
        parts[1] = asio::buffer(*body_);
    }
    asio::async_write(*socket_, parts,
                      [self = shared_from_this(), socket = socket_](const error_code& error,
                                                                    std::size_t /*bytes*/) {
                          // The pending read may still deliver a response that the upstream
                          // sent before; the failure counts when the stream ends.
                          self->written_ = !error;
                          self->write_error_ = error;
                      });
}

void beast_exchange::read() {
    socket_->async_read_some(
        buffer_.prepare(read_size),
        [self = shared_from_this(), socket = socket_](const error_code& error, std::size_t bytes) {
            if (self->listener_ == nullptr) {
                return;
            }
            if (error) {
                self->on_read_error(error);
                return;
            }
            self->on_read(bytes);
        });
}

void beast_exchange::on_read(std::size_t bytes) {
    buffer_.commit(bytes);
    if (!parse() || !deliver()) {
        return;
    }
    if (buffer_.size() > max_unparsed_bytes && !parser_->is_done()) {
        reject(answer_fault::malformed, "framing without end");
        return;
    }
    if (parser_->is_done()) {
        complete();
    } else {
        read();
    }
}

bool beast_exchange::parse() {
    while (buffer_.size() > 0 && !parser_->is_done()) {
        error_code error;
        const std::size_t used = parser_->put(buffer_.data(), error);
        buffer_.consume(used);
        parsed_bytes_ += used;
        if (error == http::error::need_more) {
            return true;
        }
        if (error) {
            reject(answer_fault::malformed, error.message());
            return false;
        }
        const bool interim =
            parser_->is_done() && is_interim_status(static_cast<int>(parser_->get().result_int()));
        if (interim) {
            reset_parser();
        }
        if (interim && parsed_bytes_ > max_interim_bytes) {
            reject(answer_fault::malformed, "interim responses without end");
            return false;
        }
    }
    return true;
}

bool beast_exchange::deliver() {
    if (parser_->is_header_done() && !head_delivered_) {
        const int status = static_cast<int>(parser_->get().result_int());
        if (!is_final_status(status)) {
            reject(answer_fault::invalid_status, describe_invalid_status(status));
            return false;
        }
        head_delivered_ = true;
        deliver_head();
    }
    if (listener_ != nullptr && head_delivered_ && !parser_->get().body().empty()) {
        const std::string bytes = std::exchange(parser_->get().body(), {});
        listener_->on_body(bytes);
    }
    return listener_ != nullptr;
}

void beast_exchange::deliver_head() {
    response_head head;
    const auto& message = parser_->get();
    head.status = static_cast<int>(message.result_int());
    head.reason = std::string(message.reason());
    for (const auto& field : message) {
        header_field copy{std::string(field.name_string()), std::string(field.value())};
        if (!is_connection_header(copy.name)) {
            head.headers.push_back(std::move(copy));
        }
    }
    head.ends_with_connection = parser_->need_eof();
    listener_->on_head(std::move(head));
}

void beast_exchange::on_read_error(const error_code& error) {
    if (error != asio::error::eof) {
        report_lost_connection(error.message());
        return;
    }
    // The handler of a write that has failed already may be queued behind this one.
    asio::post(loop_.context(), [self = shared_from_this()] {
        if (self->listener_ != nullptr) {
            self->on_end_of_stream();
        }
    });
}

void beast_exchange::on_end_of_stream() {
    ended_at_ = loop_.now();
    if (!is_ended_by_peer(*socket_, write_error_)) {
        report_lost_connection(write_error_ ? write_error_.message() + " while the request was sent"
                                            : "connection ended on the way");
        return;
    }
    if (parser_->is_header_done()) {
        error_code incomplete;
        parser_->put_eof(incomplete);
        if (!incomplete && parser_->is_done()) {
            confirm_end();
            return;
        }
    }
    if (!reused_ || answer_begun()) {
        evidence_->on_lost(upstream_, ended_at_);
    }
    report_lost_connection(error_code(asio::error::eof).message());
}

void beast_exchange::confirm_end() {
    loop_.after(process_end_time, [self = shared_from_this()] {
        if (self->listener_ != nullptr) {
            self->confirm_upstream_runs();
        }
    });
}

void beast_exchange::confirm_upstream_runs() {
    // A server that answers before it has read the request resets the rest of the upload.
    if (written_ && is_reset(*socket_)) {
        report_lost_connection("reset after its end");
        return;
    }
    // The upstream may limit its connections.
    close();
    dial_ = dialer_.dial_same_way(address_, peer_, std::max(connect_timeout_, min_confirm_timeout),
                                  [self = shared_from_this()](const dial_result& result) {
                                      if (self->listener_ != nullptr) {
                                          self->on_end_confirmed(result);
                                      }
                                  });
}

void beast_exchange::on_end_confirmed(const dial_result& result) {
    if (!result.connection.socket) {
        reject(answer_fault::unconfirmed, "end not confirmed: " + result.failure);
        return;
    }
    if (const char* objection = evidence_->objection(upstream_, ended_at_)) {
        reject(answer_fault::unconfirmed, std::string("end not confirmed: ") + objection);
        return;
    }
    complete();
}

void beast_exchange::complete() {
    exchange_listener* listener = std::exchange(listener_, nullptr);
    const bool reusable =
        written_ && parser_->keep_alive() && buffer_.size() == 0 && socket_->is_open();
    if (reusable) {
        pool_->release(upstream_, {std::exchange(socket_, nullptr), peer_}, loop_.now(),
                       idle_lifetime());
    }
    close();
    listener->on_end();
}

duration beast_exchange::idle_lifetime() const {
    const auto field = parser_->get().find(http::field::keep_alive);
    if (field == parser_->get().end()) {
        return default_idle_lifetime;
    }
    const std::string value(field->value());
    const auto position = value.find("timeout=");
    int seconds = 0;
    if (position != std::string::npos) {
        const char* begin = value.data() + position + std::string("timeout=").size();
        std::from_chars(begin, value.data() + value.size(), seconds);
    }
    return std::min<duration>(default_idle_lifetime,
                              std::chrono::seconds(seconds) - idle_lifetime_margin);
}

bool beast_exchange::answer_begun() const {
    return head_delivered_ || buffer_.size() > 0;
}

void beast_exchange::report_lost_connection(const std::string& reason) {
    reject(answer_begun() ? answer_fault::incomplete : answer_fault::none, reason);
}

void beast_exchange::reject(answer_fault fault, const std::string& reason) {
    exchange_failure failure{sent_, reused_, "answer: " + reason};
    failure.fault = fault;
    fail(failure);
}

void beast_exchange::fail(const exchange_failure& failure) {
    exchange_listener* listener = std::exchange(listener_, nullptr);
    close();
    if (listener != nullptr) {
        listener->on_failure(failure);
    }
}

void beast_exchange::cancel() {
    listener_ = nullptr;
    close();
}

void beast_exchange::close() {
    if (dial_) {
        dial_->cancel();
        dial_.reset();
    }
    if (socket_) {
        error_code ignored;
        socket_->close(ignored);
        socket_.reset();
    }
}

}  // namespace fuchsiaquay

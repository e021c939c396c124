#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/relay/memory_holder.hpp"
#include "core/time/clock.hpp"
#include "drivers/traffic/caller_services.hpp"
#include "drivers/traffic/cut_cause.hpp"
#include "drivers/traffic/output_monitor.hpp"
#include "servers/relay/response_sink.hpp"

namespace fuchsiaquay {

class active_request;
struct caller_request;

/// Connection of a caller: serves one request at a time. A read is always pending, so that a
/// disconnect of the caller is detected immediately.
class caller_session final : public response_sink,
                             private memory_holder,
                             public std::enable_shared_from_this<caller_session> {
public:
    using end_handler = std::function<void(const std::shared_ptr<caller_session>&)>;

    caller_session(const caller_services& services, boost::asio::ip::tcp::socket socket,
                   end_handler on_end);
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;
    ~caller_session() override;

    void start();
    /// Ends the connection when its idle time-out or header time-out has passed, when a body stops
    /// arriving for the idle time-out, or when its caller does not receive what is sent.
    void check_timeouts(instant now);
    /// Closes the connection unless a request is active, has begun to arrive, or its answer is on
    /// the way.
    void close_if_idle();
    /// Whether the connection could be closed without loss.
    bool idle();
    /// Whether a request was served on this connection.
    bool used() const noexcept { return used_; }
    instant idle_since() const noexcept { return idle_since_; }
    /// Closes the connection. Reports `cause` if a request on it has no complete answer.
    /// @param reason  error of the socket, or other details; may be empty
    void close(cut_cause cause, const std::string& reason = "");
    /// Whether a request is being received or served, or an answer is on the way to the caller.
    bool busy() { return (head_started_ && !closing_) || delivering(); }
    /// Whether the kernel holds parts of an answer that the caller has not received.
    bool delivering();

    void send(const response_head& head, std::string body) override;
    void begin(const response_head& head, std::string_view first) override;
    void write(std::string_view bytes) override;
    void finish() override;
    void abort() override;

private:
    bool on_memory_exceeded() override;
    using parser_type = boost::beast::http::request_parser<boost::beast::http::string_body>;

    static constexpr int status_unavailable = 503;
    static constexpr duration body_memory_retry_after = std::chrono::seconds(1);

    /// Runs a handler of the socket. An exception closes the connection, on which no operation may
    /// be pending any more, and goes on to the loop.
    template <typename handler>
    void run_guarded(const handler& run) {
        try {
            run();
        } catch (const std::exception& error) {
            close(cut_cause::handler_failed, error.what());
            throw;
        }
    }
    void prepare_for_request();
    void read();
    void on_read(const boost::system::error_code& error, std::size_t bytes);
    void on_read_failed(const boost::system::error_code& error);
    void parse();
    void accept_head();
    /// Rejects a caller with an unknown key before the rest of its body arrives.
    void check_caller();
    bool body_incomplete() const;
    /// Makes room in the body for the bytes that were read.
    void reserve_body_buffer();
    /// Responds to a malformed or oversized request. Always returns true.
    bool reject_malformed(const boost::system::error_code& error);
    /// Request line and headers of the request, as far as they were read.
    caller_request read_head() const;
    void serve();
    /// @param reason  for the log
    /// @param error  for the caller; by default the reason phrase of the status
    void reject(int status, const char* reason, duration retry_after = {},
                const char* error = nullptr);
    /// Closes the connection with a reset.
    void reset_connection(cut_cause cause);
    void complete_response();
    void append_head(const response_head& head, std::optional<std::size_t> body_bytes);
    void flush();
    void write_some();
    void on_written(const boost::system::error_code& error, std::size_t bytes);
    void on_flushed();
    /// Ends the output. The connection is closed when its caller has received everything and sends
    /// no more: closing it earlier would send a reset, which destroys data on the way.
    void shut_down_output();
    /// Memory that `text` takes, without unused room inside the object.
    static std::size_t allocated_bytes(const std::string& text);
    /// Memory of the request, of input that was read ahead, and of buffered output.
    std::size_t request_bytes() const;
    std::size_t input_bytes() const;
    std::size_t output_bytes() const;
    /// Counts the memory of this connection against that for all callers.
    void record_memory();
    void release_memory();
    /// Counts what the kernel keeps of the caller's further requests while nothing is read.
    void check_unread();
    /// Rejects the request if it has not run; otherwise closes the connection.
    void give_up_memory();
    void log_memory_exceeded();
    void check_linger(instant now);
    /// Closes the connection if its caller is unreachable or takes no data.
    void check_output(instant now);
    /// Whether a connection that ends for `cause` leaves its caller without a complete answer.
    bool answer_incomplete(cut_cause cause);
    void report_cut(cut_cause cause, const std::string& reason);

    caller_services services_;
    boost::asio::ip::tcp::socket socket_;
    end_handler on_end_;
    boost::beast::flat_buffer input_;
    std::optional<parser_type> parser_;
    bool reading_ = false;
    bool head_accepted_ = false;
    bool keep_alive_ = true;
    bool used_ = false;
    bool response_begun_ = false;
    /// The response is complete; once it is written, the connection is reused or closed.
    bool response_complete_ = false;
    /// The output has ended; input is discarded.
    bool closing_ = false;
    instant last_input_at_{};
    /// When everything was found to be delivered after the end of the output.
    std::optional<instant> delivered_at_;
    bool closed_ = false;
    instant idle_since_{};
    instant head_started_at_{};
    bool head_started_ = false;
    /// Memory of the body of the request that is being served.
    std::size_t served_body_bytes_ = 0;
    std::string output_;
    std::string writing_;
    /// Key or address of the caller.
    std::string owner_;
    /// Whether the caller is known to be allowed to send requests.
    bool confirmed_ = true;
    bool caller_checked_ = false;
    bool memory_counted_ = false;
    std::size_t unread_bytes_ = 0;
    /// The memory of this connection is about to be given up.
    bool giving_up_ = false;
    /// Bytes of `writing_` that the kernel accepted.
    std::size_t written_ = 0;
    /// The same of the whole connection, now and at the start of the response.
    std::size_t accepted_bytes_ = 0;
    std::size_t accepted_before_ = 0;
    output_monitor output_monitor_;
    bool output_pending_ = false;
    /// Set when the whole request was read.
    std::string request_id_;
    bool request_read_ = false;
    /// Whether a request that was answered had been sent to an upstream.
    bool passed_on_ = false;
    std::unique_ptr<active_request> request_;
};

}  // namespace fuchsiaquay

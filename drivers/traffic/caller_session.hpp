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

#include "core/relay/answer_holder.hpp"
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
                             private answer_holder,
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
    void on_answer_memory_exceeded() override;
    using parser_type = boost::beast::http::request_parser<boost::beast::http::string_body>;

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
    bool accept_head();
    /// Raises the reservation to `body_bytes`; rejects the request when the budget is used up.
    bool reserve_body_memory(std::size_t body_bytes);
    /// Responds to a malformed or oversized request. Always returns true.
    bool reject_malformed(const boost::system::error_code& error);
    /// Request line and headers of the request, as far as they were read.
    caller_request read_head() const;
    void serve();
    /// @param reason  for the log
    void reject(int status, const char* reason);
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
    /// Counts the buffered output against the memory for answers.
    void record_output();
    void release_output_memory();
    void check_linger(instant now);
    bool idle();
    /// Closes the connection if its caller is unreachable or takes no data.
    void check_output(instant now);
    /// Whether a connection that ends for `cause` leaves its caller without a complete answer.
    bool answer_incomplete(cut_cause cause);
    void report_cut(cut_cause cause, const std::string& reason);
    void release_body_memory();

    caller_services services_;
    boost::asio::ip::tcp::socket socket_;
    end_handler on_end_;
    boost::beast::flat_buffer input_;
    std::optional<parser_type> parser_;
    bool reading_ = false;
    bool head_accepted_ = false;
    bool keep_alive_ = true;
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
    std::size_t body_bytes_ = 0;
    std::string output_;
    std::string writing_;
    /// Whether the buffers count against the memory for answers.
    bool output_counted_ = false;
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

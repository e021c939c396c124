#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/time/clock.hpp"
#include "drivers/traffic/caller_services.hpp"
#include "servers/relay/response_sink.hpp"

namespace fuchsiaquay {

class active_request;

/// A connection of a caller: reads one request at a time and writes its answer. A read is always
/// pending, so that a caller that leaves is noticed at once.
class caller_session final : public response_sink,
                             public std::enable_shared_from_this<caller_session> {
public:
    using end_handler = std::function<void(const std::shared_ptr<caller_session>&)>;

    caller_session(const caller_services& services, boost::asio::ip::tcp::socket socket,
                   end_handler ended);
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;
    ~caller_session() override;

    void start();
    /// Closes the connection when it has been idle, or slow with a head, for too long.
    void check_timeouts(instant now);
    /// Closes the connection unless a request is under way.
    void close_if_idle();
    void close();
    bool serving() const noexcept { return request_ != nullptr; }

    void send(const response_head& head, std::string body) override;
    void begin(const response_head& head, std::string_view first) override;
    void write(std::string_view bytes) override;
    void finish() override;
    void abort() override;

private:
    using parser_type = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void expect_request();
    void read();
    void received(const boost::system::error_code& error, std::size_t bytes);
    void parse();
    bool accept_head();
    /// Counts memory for a body of this size; refuses the request when there is none.
    bool reserve_body_memory(std::size_t body_bytes);
    bool parse_failed(const boost::system::error_code& error);
    void serve();
    void reject(int status);
    void answered();
    void append_head(const response_head& head, const char* framing, std::size_t length);
    void flush();
    void flushed();
    void end_output();
    void release_body_memory();

    caller_services services_;
    boost::asio::ip::tcp::socket socket_;
    end_handler ended_;
    boost::beast::flat_buffer input_;
    std::optional<parser_type> parser_;
    bool reading_ = false;
    bool head_accepted_ = false;
    bool keep_ = true;
    /// The answer is complete; the connection goes on or ends once it is written.
    bool answer_done_ = false;
    bool closing_ = false;
    bool closed_ = false;
    instant idle_since_{};
    instant head_since_{};
    bool head_started_ = false;
    std::size_t body_bytes_ = 0;
    std::string output_;
    std::string writing_;
    std::unique_ptr<active_request> request_;
};

}  // namespace fuchsiaquay

#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace fuchsiaquay::stand_ins {

class proxy_connection;

/// TCP proxy on loopback whose connections can be reset, silenced or delayed. Runs its own thread;
/// the commands may be called from any thread and take effect before they return.
class cut_proxy {
public:
    /// @param port         port to listen on, 0 for a free one
    /// @param target_port  port on 127.0.0.1 to connect to
    cut_proxy(std::uint16_t port, std::uint16_t target_port);
    ~cut_proxy();
    cut_proxy(const cut_proxy&) = delete;
    cut_proxy& operator=(const cut_proxy&) = delete;

    std::uint16_t port() const { return port_; }

    /// Resets every open connection; new ones work.
    void cut();
    /// Open connections stay open but pass no more data; new ones work.
    void silence();
    /// When true, open and new connections pass no data, as in a network partition.
    void part(bool parted);
    /// When true, new connections are refused, as if no process listened, and open ones are reset.
    void refuse(bool refused);
    /// Delays the data in both directions of connections that are opened from now on.
    void delay(std::chrono::milliseconds value);

private:
    void bind();
    void accept();
    void run_on_thread(const std::function<void()>& command);

    boost::asio::io_context context_;
    /// Keeps the thread alive while nothing listens.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{
        context_.get_executor()};
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::endpoint target_;
    std::uint16_t port_;
    std::vector<std::shared_ptr<proxy_connection>> connections_;
    std::chrono::milliseconds delay_{0};
    bool parted_ = false;
    std::thread thread_;
};

}  // namespace fuchsiaquay::stand_ins

#include "tests/stand_ins/cut_proxy/cut_proxy.hpp"

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/post.hpp>
#include <future>

#include "tests/stand_ins/cut_proxy/proxy_connection.hpp"

namespace fuchsiaquay::stand_ins {

namespace asio = boost::asio;
using asio::ip::tcp;

cut_proxy::cut_proxy(std::uint16_t port, std::uint16_t target_port)
    : acceptor_(context_), target_(asio::ip::address_v4::loopback(), target_port), port_(port) {
    bind();
    acceptor_.listen();
    accept();
    thread_ = std::thread([this] { context_.run(); });
}

cut_proxy::~cut_proxy() {
    context_.stop();
    thread_.join();
}

void cut_proxy::bind() {
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port_);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    port_ = acceptor_.local_endpoint().port();
}

void cut_proxy::accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
        if (error) {
            return;
        }
        const auto connection =
            std::make_shared<proxy_connection>(context_, std::move(socket), delay_);
        if (parted_) {
            connection->silence();
        }
        connection->start(target_);
        connections_.erase(std::remove_if(connections_.begin(), connections_.end(),
                                          [](const std::shared_ptr<proxy_connection>& each) {
                                              return !each->is_open();
                                          }),
                           connections_.end());
        connections_.push_back(connection);
        accept();
    });
}

void cut_proxy::run_on_thread(const std::function<void()>& command) {
    std::promise<void> done;
    asio::post(context_, [&] {
        command();
        done.set_value();
    });
    done.get_future().wait();
}

void cut_proxy::cut() {
    run_on_thread([this] {
        for (const auto& each : connections_) {
            each->cut();
        }
    });
}

void cut_proxy::silence() {
    run_on_thread([this] {
        for (const auto& each : connections_) {
            each->silence();
        }
    });
}

void cut_proxy::part(bool parted) {
    if (parted) {
        silence();
    }
    run_on_thread([this, parted] { parted_ = parted; });
}

void cut_proxy::refuse(bool refused) {
    if (refused) {
        run_on_thread([this] {
            acceptor_.close();
            // Bound but not listening: the port stays reserved, and connections are refused.
            bind();
        });
        cut();
        return;
    }
    run_on_thread([this] {
        acceptor_.listen();
        accept();
    });
}

void cut_proxy::delay(std::chrono::milliseconds value) {
    run_on_thread([this, value] { delay_ = value; });
}

}  // namespace fuchsiaquay::stand_ins

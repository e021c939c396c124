#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <memory>
#include <vector>

namespace fuchsiaquay {

/// TCP relay on the loopback interface. A test can make the open connections drop all data, while
/// later connections work.
class silent_relay {
public:
    using tcp = boost::asio::ip::tcp;

    silent_relay(boost::asio::io_context& context, std::uint16_t target)
        : context_(context),
          acceptor_(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
          target_(boost::asio::ip::address_v4::loopback(), target) {
        accept_next();
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    int connections() const { return static_cast<int>(pairs_.size()); }
    /// Makes the open connections drop all further data in the chosen directions.
    void silence(bool forward, bool backward) {
        for (const auto& pair : pairs_) {
            pair->forward_silent = pair->forward_silent || forward;
            pair->backward_silent = pair->backward_silent || backward;
        }
    }
    /// All bytes relayed to the target.
    const std::string& recorded() const { return recorded_; }

private:
    static constexpr std::size_t chunk_bytes = 65536;

    struct pair_state {
        explicit pair_state(boost::asio::io_context& context) : near(context), far(context) {}
        tcp::socket near;
        tcp::socket far;
        bool forward_silent = false;
        bool backward_silent = false;
        std::array<char, chunk_bytes> near_bytes{};
        std::array<char, chunk_bytes> far_bytes{};
    };

    void accept_next() {
        auto pair = std::make_shared<pair_state>(context_);
        acceptor_.async_accept(pair->near, [this, pair](const boost::system::error_code& error) {
            if (error) {
                return;
            }
            pair->far.connect(target_);
            pairs_.push_back(pair);
            pump(pair, true);
            pump(pair, false);
            accept_next();
        });
    }

    void pump(const std::shared_ptr<pair_state>& pair, bool forward) {
        tcp::socket& from = forward ? pair->near : pair->far;
        auto& bytes = forward ? pair->near_bytes : pair->far_bytes;
        from.async_read_some(
            boost::asio::buffer(bytes),
            [this, pair, forward](const boost::system::error_code& error, std::size_t size) {
                if (error) {
                    return;
                }
                const bool silent = forward ? pair->forward_silent : pair->backward_silent;
                if (!silent) {
                    tcp::socket& to = forward ? pair->far : pair->near;
                    auto& received = forward ? pair->near_bytes : pair->far_bytes;
                    if (forward) {
                        recorded_.append(received.data(), size);
                    }
                    boost::system::error_code ignored;
                    boost::asio::write(to, boost::asio::buffer(received.data(), size), ignored);
                }
                pump(pair, forward);
            });
    }

    boost::asio::io_context& context_;
    tcp::acceptor acceptor_;
    tcp::endpoint target_;
    std::vector<std::shared_ptr<pair_state>> pairs_;
    std::string recorded_;
};

}  // namespace fuchsiaquay

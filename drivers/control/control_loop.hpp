#pragma once

#include <functional>
#include <memory>
#include <string>

#include "servers/timer_service.hpp"

namespace boost::asio {
class io_context;
}

namespace fuchsiaquay {

/// The control thread: one event loop that runs timers, posted work and sockets one at a time.
/// All control state lives here; traffic threads reach it through `post` only.
class control_loop final : public timer_service {
public:
    control_loop();
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;
    ~control_loop() override;

    instant now() const override;
    subscription every(duration period, callback action) override;
    subscription after(duration delay, callback action) override;
    void cancel(subscription id) override;

    /// Queues `work` for the control thread. Safe from any thread.
    void post(std::function<void()> work);
    /// Runs the loop on the calling thread until `stop`.
    void run();
    /// Ends `run`. Safe from any thread.
    void stop();
    /// Receives what a handler threw; without it `run` ends with that exception.
    void on_error(std::function<void(const std::string& reason)> error);
    /// For bindings that own sockets on the control thread.
    boost::asio::io_context& context();

private:
    struct timer;
    class state;

    static void arm(const std::shared_ptr<state>& owner, const std::shared_ptr<timer>& entry);

    std::shared_ptr<state> state_;
};

}  // namespace fuchsiaquay

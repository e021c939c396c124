#pragma once

#include <functional>
#include <memory>
#include <string>

#include "servers/timer_service.hpp"

namespace boost::asio {
class io_context;
}

namespace fuchsiaquay {

/// Event loop of the control thread. Runs the handlers of timers, posted work and sockets one at a
/// time. Control state is accessed on this thread only; other threads use `post`.
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
    /// Sets the handler of exceptions that other handlers throw; without it, `run` rethrows them.
    void on_error(std::function<void(const std::string& reason)> error);
    /// For classes that own sockets on the control thread.
    boost::asio::io_context& context();

private:
    struct timer;
    class state;

    static void arm(const std::shared_ptr<state>& owner, const std::shared_ptr<timer>& entry);

    std::shared_ptr<state> state_;
};

}  // namespace fuchsiaquay

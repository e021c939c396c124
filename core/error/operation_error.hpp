#pragma once

#include <stdexcept>
#include <string>

namespace fuchsiaquay {

/// Base of every exception of this project. Says at which step and with which peer it arose.
class operation_error : public std::runtime_error {
public:
    /// @param step  what was being done, for example "reserve" or "read contract"
    /// @param peer  address or name of the other end; "local" where there is none
    /// @param what  what went wrong, without prompt text or keys
    operation_error(std::string step, std::string peer, const std::string& what)
        : std::runtime_error(step + " (" + peer + "): " + what),
          step_(std::move(step)),
          peer_(std::move(peer)) {}

    const std::string& step() const noexcept { return step_; }
    const std::string& peer() const noexcept { return peer_; }

private:
    std::string step_;
    std::string peer_;
};

}  // namespace fuchsiaquay

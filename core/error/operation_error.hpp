#pragma once

#include <stdexcept>
#include <string>

namespace fuchsiaquay {

/// Base class of the exceptions of this project. Names the operation that failed and the peer.
class operation_error : public std::runtime_error {
public:
    /// @param operation  operation that failed, for example "reserve" or "read contract"
    /// @param peer       address or name of the peer; "local" if there is none
    /// @param reason     description of the error, without prompt text or keys
    operation_error(std::string operation, std::string peer, const std::string& reason)
        : std::runtime_error(operation + " (" + peer + "): " + reason),
          operation_(std::move(operation)),
          peer_(std::move(peer)) {}

    const std::string& operation() const noexcept { return operation_; }
    const std::string& peer() const noexcept { return peer_; }

private:
    std::string operation_;
    std::string peer_;
};

}  // namespace fuchsiaquay

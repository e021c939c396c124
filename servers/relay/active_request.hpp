#pragma once

#include <string>

namespace fuchsiaquay {

/// A request in progress. Destroying it cancels all remaining work, for example after the caller
/// has disconnected.
class active_request {
public:
    active_request() = default;
    active_request(const active_request&) = delete;
    active_request& operator=(const active_request&) = delete;
    virtual ~active_request() = default;

    /// Whether the request, or part of it, was sent to an upstream.
    virtual bool passed_on() const = 0;
    /// Called before the request is destroyed because its caller's connection ended early.
    /// @param cause  for the log
    /// @param by_caller  whether the caller's side ended the connection
    virtual void on_connection_lost(const std::string& cause, bool by_caller) = 0;
};

}  // namespace fuchsiaquay

#pragma once

namespace fuchsiaquay {

/// A request in progress. Destroying it cancels all remaining work, for example after the caller
/// has disconnected.
class active_request {
public:
    active_request() = default;
    active_request(const active_request&) = delete;
    active_request& operator=(const active_request&) = delete;
    virtual ~active_request() = default;
};

}  // namespace fuchsiaquay

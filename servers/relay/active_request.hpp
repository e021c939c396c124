#pragma once

namespace fuchsiaquay {

/// A request that is being served. Destroying it cancels what is left of it, as when the caller
/// has gone.
class active_request {
public:
    active_request() = default;
    active_request(const active_request&) = delete;
    active_request& operator=(const active_request&) = delete;
    virtual ~active_request() = default;
};

}  // namespace fuchsiaquay

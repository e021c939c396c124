#pragma once

namespace fuchsiaquay {

/// A request in progress at an upstream. Destroying it closes its connection.
class upstream_exchange {
public:
    upstream_exchange() = default;
    upstream_exchange(const upstream_exchange&) = delete;
    upstream_exchange& operator=(const upstream_exchange&) = delete;
    virtual ~upstream_exchange() = default;

    /// True if the connection had been used for earlier requests. What arrives on it may belong to
    /// one of them.
    virtual bool reused_connection() const = 0;
};

}  // namespace fuchsiaquay

#pragma once

#include <functional>

#include "core/fleet/network_address.hpp"

namespace fuchsiaquay {

struct announcement;

/// Unreliable messages between hosts. Announcements may be lost or overtake each other.
class announcement_channel {
public:
    using handler = std::function<void(const announcement&)>;

    announcement_channel() = default;
    announcement_channel(const announcement_channel&) = delete;
    announcement_channel& operator=(const announcement_channel&) = delete;
    virtual ~announcement_channel() = default;

    /// Sends `message` to each address.
    virtual void send(const std::vector<network_address>& to, const announcement& message) = 0;
    virtual void on_receive(handler receive) = 0;
};

}  // namespace fuchsiaquay

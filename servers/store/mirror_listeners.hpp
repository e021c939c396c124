#pragma once

#include <utility>
#include <vector>

#include "servers/store/mirror_listener.hpp"

namespace fuchsiaquay {

/// Passes the contents of one mirror to several listeners, in order.
class mirror_listeners final : public mirror_listener {
public:
    /// The listeners must outlive this object.
    explicit mirror_listeners(std::vector<mirror_listener*> listeners)
        : listeners_(std::move(listeners)) {}

    void on_snapshot(const std::vector<stored_value>& values, std::int64_t revision,
                     bool after_outage) override {
        for (mirror_listener* listener : listeners_) {
            listener->on_snapshot(values, revision, after_outage);
        }
    }
    void on_changes(const std::vector<watch_event>& events, std::int64_t revision) override {
        for (mirror_listener* listener : listeners_) {
            listener->on_changes(events, revision);
        }
    }

private:
    std::vector<mirror_listener*> listeners_;
};

}  // namespace fuchsiaquay

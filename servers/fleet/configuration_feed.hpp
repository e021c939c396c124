#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/time/clock.hpp"
#include "servers/store/mirror_listener.hpp"

namespace fuchsiaquay {

class configuration_codec;
class decision_log;
class fleet_configuration;

/// The newest configuration that this host has seen. Versions only grow in a process's lifetime.
class configuration_feed final : public mirror_listener {
public:
    using change_handler = std::function<void(const fleet_configuration&)>;

    /// @param key  key of the configuration in the store
    configuration_feed(const configuration_codec& codec, decision_log& log, std::string key);

    /// Null until one is known.
    const std::shared_ptr<const fleet_configuration>& current() const noexcept { return current_; }
    void on_change(change_handler changed) { changed_ = std::move(changed); }

    void on_snapshot(const std::vector<stored_value>& values, bool after_outage) override;
    void on_changes(const std::vector<watch_event>& events) override;

private:
    void take(const stored_value& value);

    const configuration_codec& codec_;
    decision_log& log_;
    std::string key_;
    std::shared_ptr<const fleet_configuration> current_;
    change_handler changed_;
};

}  // namespace fuchsiaquay

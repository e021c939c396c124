#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "core/fleet/configuration_answer.hpp"
#include "core/time/clock.hpp"
#include "servers/store/mirror_listener.hpp"

namespace fuchsiaquay {

class configuration_codec;
class decision_log;
class fleet_configuration;

/// Holds the newest configuration that this host has received. The version never decreases during
/// the lifetime of a process.
class configuration_feed final : public mirror_listener {
public:
    using change_handler = std::function<void(const fleet_configuration&)>;

    /// @param key  store key of the configuration
    configuration_feed(const configuration_codec& codec, decision_log& log, std::string key);

    /// Null until a configuration has been received.
    const std::shared_ptr<const fleet_configuration>& current() const noexcept { return current_; }
    void on_change(change_handler changed) { change_handler_ = std::move(changed); }

    const std::string& key() const noexcept { return key_; }
    /// Store revision of the current configuration; 0 before the first one.
    std::int64_t revision() const noexcept { return revision_; }
    /// Answer for a host that has the configuration of revision `known_revision`: a delta if
    /// possible.
    configuration_answer answer_for(std::int64_t known_revision) const;
    /// Applies an answer of another host. Returns false if the base of its delta is not known here.
    bool apply_answer(const configuration_answer& answer);
    /// Applies a configuration from the store or from another host if it is newer.
    void apply(const stored_value& value);

    void on_snapshot(const std::vector<stored_value>& values, std::int64_t revision,
                     bool after_outage) override;
    void on_changes(const std::vector<watch_event>& events, std::int64_t revision) override;

private:
    /// Stored text of a configuration.
    struct version_text {
        std::int64_t revision = 0;
        std::string text;
    };

    const version_text* find_text(std::int64_t revision) const;

    const configuration_codec& codec_;
    decision_log& log_;
    std::string key_;
    std::shared_ptr<const fleet_configuration> current_;
    std::int64_t revision_ = 0;
    /// The most recent texts, ending with the current one.
    std::deque<version_text> texts_;
    /// The last delta that was computed. Most hosts have the same base, so it is usually reused.
    mutable configuration_answer cached_answer_;
    change_handler change_handler_;
};

}  // namespace fuchsiaquay

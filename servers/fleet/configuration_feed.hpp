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

/// The newest configuration that this host has seen. Versions only grow in a process's lifetime.
class configuration_feed final : public mirror_listener {
public:
    using change_handler = std::function<void(const fleet_configuration&)>;

    /// @param key  key of the configuration in the store
    configuration_feed(const configuration_codec& codec, decision_log& log, std::string key);

    /// Null until one is known.
    const std::shared_ptr<const fleet_configuration>& current() const noexcept { return current_; }
    void on_change(change_handler changed) { changed_ = std::move(changed); }

    const std::string& key() const noexcept { return key_; }
    /// Store revision of the current configuration; 0 before the first one.
    std::int64_t revision() const noexcept { return revision_; }
    /// What another host needs that knows the configuration of revision `known`.
    configuration_answer answer_for(std::int64_t known) const;
    /// Takes what another host gave. False when that does not fit what this host knows.
    bool apply_answer(const configuration_answer& answer);
    /// Takes a configuration, from the store or from another host, if it is newer.
    void apply(const stored_value& value);

    void on_snapshot(const std::vector<stored_value>& values, std::int64_t revision,
                     bool after_outage) override;
    void on_changes(const std::vector<watch_event>& events, std::int64_t revision) override;

private:
    /// A configuration as it is stored.
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
    /// The latest texts, the current one last.
    std::deque<version_text> texts_;
    /// The last delta that was asked for: hosts mostly know the same configuration.
    mutable configuration_answer last_answer_;
    change_handler changed_;
};

}  // namespace fuchsiaquay

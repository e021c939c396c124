#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <utility>

#include "core/fleet/evacuation_set.hpp"
#include "servers/store/mirror_listener.hpp"

namespace fuchsiaquay {

class decision_log;

/// Holds the evacuations that this host knows from the store or from other hosts.
///
/// Of two copies the one that was read or changed at the later store revision (`as_of`) replaces
/// the other, so that an old copy never undoes an evacuation or its end. A poll without changes
/// does not raise `as_of`, because the store may withhold changes for a while.
class evacuation_feed final : public mirror_listener {
public:
    using change_handler = std::function<void()>;
    using end_handler = std::function<void(const std::string& data_centre)>;

    /// @param prefix  store prefix of the keys; the rest of a key is the data centre
    /// @param active  whether the deployment uses evacuations; the set stays empty if not
    evacuation_feed(decision_log& log, std::string prefix, bool active);

    bool active() const noexcept { return active_; }
    const evacuation_set& current() const noexcept { return current_; }
    /// Store revision at which the set was read or changed; 0 before it was received.
    std::int64_t as_of() const noexcept { return as_of_; }
    void on_change(change_handler changed) { change_handler_ = std::move(changed); }
    /// Sets the handler that is called for each data centre whose evacuation has ended, before
    /// anything is sent there.
    void on_ended(end_handler ended) { end_handler_ = std::move(ended); }

    /// Takes over the set of another host unless this host's own one is more recent.
    /// @param as_of  store revision at which `received` was read or changed; 0 if not known
    void merge(const evacuation_set& received, std::int64_t as_of, const std::string& source);

    void on_snapshot(const std::vector<stored_value>& values, std::int64_t revision,
                     bool after_outage) override;
    void on_changes(const std::vector<watch_event>& events, std::int64_t revision) override;

private:
    /// Returns the data centre of a key; empty if the key has another prefix.
    std::string data_centre_of(const std::string& key) const;
    void replace(std::set<std::string> data_centres, std::int64_t revision,
                 const std::string& source);
    void log_change(const char* event, const std::string& data_centre, std::int64_t revision,
                    const std::string& source);

    decision_log& log_;
    std::string prefix_;
    bool active_;
    evacuation_set current_;
    std::int64_t as_of_ = 0;
    change_handler change_handler_;
    end_handler end_handler_;
};

}  // namespace fuchsiaquay

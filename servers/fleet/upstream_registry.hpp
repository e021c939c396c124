#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/fleet/catalogue_delta.hpp"
#include "core/fleet/upstream_entry.hpp"
#include "core/time/clock.hpp"
#include "servers/store/mirror_listener.hpp"

namespace fuchsiaquay {

class decision_log;
class timer_service;
class upstream_codec;

/// Upstreams of the platform's catalogue. An entry that disappeared during an outage of the store
/// is kept until its upstream has had time to register again.
class upstream_registry final : public mirror_listener {
public:
    using lifetime_handler = std::function<void(const upstream_lifetime& upstream)>;
    using cold_handler = std::function<void(const upstream_lifetime& upstream, instant until)>;
    using cold_time_lookup = std::function<std::optional<duration>(const std::string& service)>;

    /// @param prefix  prefix of the store keys, followed by the id of the upstream
    upstream_registry(const upstream_codec& codec, timer_service& timers, decision_log& log,
                      std::string prefix);

    /// Upstreams of a service that accept new requests.
    const std::vector<upstream_entry>& ready(const std::string& service) const;
    /// Null if the upstream is not listed.
    const upstream_entry* find(const std::string& id) const;
    /// Whether the catalogue has been read at least once.
    bool loaded() const noexcept { return loaded_; }
    std::size_t size() const noexcept { return entries_.size(); }
    /// Addresses of all listed upstreams.
    std::vector<network_address> addresses() const;
    /// Whether another process than `process` was listed at `address` at `since` or later.
    bool reassigned_since(instant since, const network_address& address,
                          const upstream_lifetime& process) const;
    /// Sets the handler that is called for each upstream that is no longer listed.
    void on_removed(lifetime_handler handler) { removed_handler_ = std::move(handler); }
    /// Sets the handler that is called with each process that replaces an earlier one in its entry.
    void on_restarted(lifetime_handler handler) { restarted_handler_ = std::move(handler); }
    /// Sets the handler that is called when a process is found to be cold, or cold for longer.
    void on_cold(cold_handler handler) { cold_handler_ = std::move(handler); }
    /// Sets how long new processes of a service are cold; absent if it does not matter to the
    /// service how many requests a cold process receives.
    void set_cold_times(cold_time_lookup lookup) { cold_times_ = std::move(lookup); }
    /// Reports every process that is cold again, because the cold times have changed.
    void report_cold();
    /// Records that the upstreams of a data centre received nothing for a while and may be cold.
    void on_data_centre_returned(const std::string& data_centre);

    /// Changes that are missing from a copy at `revision`.
    catalogue_delta changes_after(std::int64_t revision) const;
    /// Applies changes received from another host.
    void apply(const catalogue_delta& delta);
    /// Store revision of the catalogue; 0 before the first read.
    std::int64_t revision() const noexcept { return revision_; }

    void on_snapshot(const std::vector<stored_value>& values, std::int64_t revision,
                     bool after_outage) override;
    void on_changes(const std::vector<watch_event>& events, std::int64_t revision) override;

private:
    /// An entry and the revision at which its content last changed.
    struct listed_entry {
        upstream_entry entry;
        std::int64_t revision = 0;
        instant cold_until{};
        /// End of the cold time as of `revision`, which other hosts know.
        instant announced_cold_until{};
        /// Whether the process was reported to be cold, and not to be warm since.
        bool cold = false;
    };
    /// The process that was listed last at an address.
    struct occupant {
        upstream_lifetime process;
        instant listed_at{};
    };
    struct removal {
        upstream_lifetime process;
        std::int64_t revision = 0;
    };

    /// @param after_restoration  whether the value may be older than the known entry
    void apply_value(const stored_value& value, bool after_restoration);
    bool is_draining(const upstream_lifetime& process) const;
    void add_or_update(const upstream_entry& entry, std::int64_t revision);
    bool removed_lately(const upstream_lifetime& process) const;
    void note_cold(listed_entry& item, duration cold_time, std::int64_t revision,
                   const char* reason);
    void report_if_cold(listed_entry& item, const char* reason);
    void plan_warm(const upstream_lifetime& process, duration left);
    void note_if_warm(const upstream_lifetime& process);
    std::optional<duration> cold_time_of(const std::string& service) const;
    void remove(const std::string& id, std::int64_t revision, const char* reason);
    /// Records that the process of `entry` is no longer listed at its address.
    void vacate(const upstream_entry& entry);
    void remove_all_but(const std::set<std::string>& kept, std::int64_t as_of, bool after_outage);
    void remove_expired();
    void update_ready_index();

    const upstream_codec& codec_;
    timer_service& timers_;
    decision_log& log_;
    std::string prefix_;
    bool loaded_ = false;
    /// Whether entries have changed since `ready_` was built.
    bool ready_index_outdated_ = false;
    std::int64_t revision_ = 0;
    std::map<std::string, listed_entry> entries_;
    /// By address.
    std::map<network_address, occupant> occupants_;
    /// The most recent removals, oldest first.
    std::deque<removal> removals_;
    /// Revision of the last removal that was dropped from `removals_`.
    std::int64_t last_dropped_removal_ = 0;
    std::map<std::string, std::vector<upstream_entry>> ready_;
    /// Entries that are missing after an outage, with the time at which this was noticed.
    std::map<std::string, instant> missing_;
    lifetime_handler removed_handler_;
    lifetime_handler restarted_handler_;
    cold_handler cold_handler_;
    cold_time_lookup cold_times_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace fuchsiaquay

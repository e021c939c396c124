#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
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

/// Upstreams as the platform's catalogue lists them. An entry that vanished while the store was
/// away is kept until its upstream has had time to register again.
class upstream_registry final : public mirror_listener {
public:
    using removed_handler = std::function<void(const std::string& id)>;

    /// @param prefix  part of the key before the upstream's id
    upstream_registry(const upstream_codec& codec, timer_service& timers, decision_log& log,
                      std::string prefix);

    /// Upstreams of a service that take new requests.
    const std::vector<upstream_entry>& ready(const std::string& service) const;
    /// Null when the upstream is not listed.
    const upstream_entry* find(const std::string& id) const;
    /// True once the catalogue has been read.
    bool loaded() const noexcept { return loaded_; }
    std::size_t size() const noexcept { return entries_.size(); }
    /// Called for each upstream that is no longer listed.
    void on_removed(removed_handler gone) { gone_ = std::move(gone); }

    /// Changes that a copy at `revision` lacks.
    catalogue_delta changes_after(std::int64_t revision) const;
    /// Takes changes that another host has seen.
    void apply(const catalogue_delta& view);
    /// Revision of the store that the catalogue reflects; 0 before the first read.
    std::int64_t revision() const noexcept { return revision_; }

    void on_snapshot(const std::vector<stored_value>& values, std::int64_t revision,
                     bool after_outage) override;
    void on_changes(const std::vector<watch_event>& events, std::int64_t revision) override;

private:
    /// An entry and the revision at which its content last changed.
    struct listed {
        upstream_entry entry;
        std::int64_t revision = 0;
    };
    struct removal {
        std::string id;
        std::int64_t revision = 0;
    };

    void store(const stored_value& value);
    void list(const upstream_entry& entry, std::int64_t revision);
    void remove(const std::string& id, std::int64_t revision, const char* reason);
    void remove_all_but(const std::set<std::string>& kept, std::int64_t as_of, bool after_outage);
    void remove_lapsed();
    void index();

    const upstream_codec& codec_;
    timer_service& timers_;
    decision_log& log_;
    std::string prefix_;
    bool loaded_ = false;
    /// The entries changed since `ready_` was made.
    bool index_outdated_ = false;
    std::int64_t revision_ = 0;
    std::map<std::string, listed> entries_;
    /// The latest removals, oldest first.
    std::deque<removal> removals_;
    /// Revision of the last removal that is no longer held.
    std::int64_t removals_dropped_ = 0;
    std::map<std::string, std::vector<upstream_entry>> ready_;
    /// Entries that were missing after an outage, and since when.
    std::map<std::string, instant> missing_;
    removed_handler gone_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace fuchsiaquay

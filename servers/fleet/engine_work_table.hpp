#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/placement/engine_load.hpp"
#include "core/placement/engine_slowdown_tracker.hpp"
#include "core/placement/engine_work.hpp"

namespace fuchsiaquay {

/// Work of all hosts at the upstreams: this host's own, and what the others have announced.
class engine_work_table {
public:
    using change_handler = std::function<void(const engine_work&)>;
    using capacity_handler = std::function<void()>;

    explicit engine_work_table(std::string self) : self_(std::move(self)) {}

    /// Takes a change of this host's work; it will be announced.
    void apply_own(const engine_work& work);
    /// Takes a change that another host announced.
    void apply_remote(const std::string& host, const engine_work& work);
    /// Replaces all that is known of a host's work.
    void replace_remote(const std::string& host, const std::vector<engine_work>& works);
    void remove_host(const std::string& host);
    void remove_upstream(const std::string& upstream);

    const engine_load& load(const std::string& upstream) const;
    /// Pace of the engines as this host's streams show it.
    engine_slowdown_tracker& pace() noexcept { return pace_; }
    const engine_slowdown_tracker& pace() const noexcept { return pace_; }
    std::vector<engine_work> own_works() const;

    void on_own_change(change_handler changed) { own_changed_ = std::move(changed); }
    /// Called when something may fit that did not fit before.
    void on_capacity_freed(capacity_handler room) { room_ = std::move(room); }

private:
    void made_room() const;

    std::string self_;
    std::map<std::string, engine_load> loads_;
    engine_slowdown_tracker pace_;
    /// By key and upstream.
    std::map<std::pair<std::uint64_t, std::string>, engine_work> own_;
    change_handler own_changed_;
    capacity_handler room_;
};

}  // namespace fuchsiaquay

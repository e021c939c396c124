#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/limits/cold_upstream_budget.hpp"
#include "core/limits/upstream_rate_limits.hpp"
#include "core/placement/cold_slowdown_estimate.hpp"
#include "core/placement/engine_load.hpp"
#include "core/placement/engine_slowdown_tracker.hpp"
#include "core/placement/engine_work.hpp"
#include "core/quarantine/prompt_part_quarantine.hpp"
#include "core/scheduling/engine_time_shares.hpp"

namespace fuchsiaquay {

/// Work of all hosts at the upstreams: the work of this host and what other hosts have announced.
class engine_work_table {
public:
    using change_handler = std::function<void(const std::vector<engine_work>&)>;
    using capacity_handler = std::function<void()>;

    explicit engine_work_table(std::string self) : self_(std::move(self)) {}

    /// Applies changes of this host's work and passes them to the handler that announces them.
    /// Changes that belong together, such as the parts of a prompt, are passed in one call.
    void apply_own_works(const std::vector<engine_work>& works);
    /// Applies a change that another host announced.
    void apply_remote_work(const std::string& host, const engine_work& work);
    /// Replaces all known work of a host.
    void replace_remote_work(const std::string& host, const std::vector<engine_work>& works);
    void remove_host(const std::string& host);
    void remove_upstream(const std::string& upstream);
    /// Forgets what earlier processes of `upstream` showed. Its load ends with the requests there.
    void on_upstream_restarted(const upstream_lifetime& upstream, instant now);

    const engine_load& load(const std::string& upstream) const;
    /// Slowdowns of the engines as observed in this host's streams or announced by other hosts.
    engine_slowdown_tracker& slowdowns() noexcept { return slowdowns_; }
    const engine_slowdown_tracker& slowdowns() const noexcept { return slowdowns_; }
    /// Slowdowns of cold engines by service, as observed in this host's streams.
    cold_slowdown_estimate& cold_slowdowns() noexcept { return cold_slowdowns_; }
    const cold_slowdown_estimate& cold_slowdowns() const noexcept { return cold_slowdowns_; }
    /// Parts of prompts that end engines, as observed by all hosts.
    prompt_part_quarantine& quarantine() noexcept { return quarantine_; }
    const prompt_part_quarantine& quarantine() const noexcept { return quarantine_; }
    /// Limits that the upstreams name, against which the work of all hosts counts.
    upstream_rate_limits& rate_limits() noexcept { return rate_limits_; }
    const upstream_rate_limits& rate_limits() const noexcept { return rate_limits_; }
    /// Bound of the requests to upstreams that are cold, against which the same work counts.
    cold_upstream_budget& cold_budget() noexcept { return cold_budget_; }
    const cold_upstream_budget& cold_budget() const noexcept { return cold_budget_; }
    /// Engine time of the client accounts, from the work of all hosts.
    engine_time_shares& shares() noexcept { return shares_; }
    const engine_time_shares& shares() const noexcept { return shares_; }
    /// Hosts that place prompts, including this one.
    void set_hosts(std::size_t hosts) { hosts_ = hosts; }
    std::size_t hosts() const noexcept { return hosts_; }
    /// Short prompts that this host dispatched after `since` and that have not been answered.
    std::size_t own_dispatched_after(instant since) const;
    std::vector<engine_work> own_work_items() const;

    void on_own_change(change_handler changed) { own_changed_ = std::move(changed); }
    /// Sets the handler that is called when a waiting request may fit on an engine.
    void on_capacity_freed(capacity_handler capacity_freed) {
        capacity_freed_ = std::move(capacity_freed);
    }

private:
    /// Counts work against the limit of its upstream and the share of its account, unless it is
    /// known.
    void count_if_new(const std::string& host, const engine_work& work);
    void notify_if_capacity_freed(const engine_work& work) const;
    void notify_capacity_freed() const;

    std::string self_;
    std::map<std::string, engine_load> loads_;
    engine_slowdown_tracker slowdowns_;
    prompt_part_quarantine quarantine_;
    upstream_rate_limits rate_limits_;
    cold_upstream_budget cold_budget_;
    cold_slowdown_estimate cold_slowdowns_;
    engine_time_shares shares_;
    std::size_t hosts_ = 1;
    /// Work of this host by key and upstream.
    std::map<std::pair<std::uint64_t, std::string>, engine_work> own_work_items_;
    change_handler own_changed_;
    capacity_handler capacity_freed_;
};

}  // namespace fuchsiaquay

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/fleet/upstream_lifetime.hpp"
#include "core/limits/cold_upstream_bounds.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Requests that hosts may send to processes of upstreams that are cold and crash under more.
///
/// The bound for any second is divided among the hosts that may serve, so it holds without a
/// message: also for hosts that do not hear each other, or hear each other late. If it is smaller
/// than the number of hosts, a hash assigns each cold upstream to as many hosts as it allows one
/// request. The requests that other hosts announce count as well, which covers hosts that this one
/// does not know yet.
class cold_upstream_budget {
public:
    void set_bounds(const cold_upstream_bounds& bounds) { bounds_ = bounds; }
    /// Sets the hosts that may send requests, including this one.
    void set_hosts(const std::string& self, std::vector<std::string> hosts);
    /// Sets whether this host would know if an upstream became cold. If not, every upstream may be
    /// cold, so the bound applies to all of them.
    /// @param hears_all  this host hears the dispatches of all hosts, so they may share half of the
    ///     bound at upstreams that are not known to be cold if the rest has one request for each;
    ///     otherwise it uses its own part
    void set_knowledge(bool informed, bool hears_all) {
        informed_ = informed;
        hears_all_ = hears_all;
    }

    /// Records that a process is cold until `until`. A shorter time than the known one is ignored,
    /// and so is a process that started before the known one.
    /// @return true if the process was not known to be cold
    bool on_cold(const upstream_lifetime& process, instant until, instant now);
    /// Counts a request that some host sent at `sent_at`.
    void on_dispatch(const std::string& upstream, bool own, instant sent_at);
    void remove(const std::string& upstream);

    bool is_cold(const std::string& upstream, instant now) const;
    /// Time until this host may send another request; zero if it may now. An upstream that is
    /// assigned to other hosts accepts requests of this one when it is warm.
    /// @param tolerated_per_s  requests per second that a cold upstream tolerates; 0: no limit
    duration time_until_accepted(const std::string& upstream, double tolerated_per_s,
                                 instant now) const;
    /// Number of upstreams that are known to be cold.
    std::size_t size(instant now) const;

private:
    struct record {
        std::int64_t started_at_ms = 0;
        instant cold_until{};
        /// Requests of the last second, of this host and of all known ones.
        std::vector<instant> own_sent;
        std::vector<instant> all_sent;
    };

    /// Time until this host may send another request to an upstream that may be cold, if all hosts
    /// share `limit` requests per second.
    static duration shared_wait(const record& item, double limit, instant now);
    /// Number of hosts that the hash puts before this one for `upstream`.
    std::size_t own_order(const std::string& upstream) const;
    /// Requests of this host per second, if those of all hosts may be `total`.
    std::size_t own_limit(const std::string& upstream, double total) const;

    cold_upstream_bounds bounds_;
    std::string self_;
    std::vector<std::string> hosts_;
    bool informed_ = true;
    bool hears_all_ = false;
    /// By upstream id: those that received requests or were cold.
    std::map<std::string, record> records_;
    /// Results of `own_order` for the current hosts.
    mutable std::map<std::string, std::size_t> orders_;
};

}  // namespace fuchsiaquay

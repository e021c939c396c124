#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/placement/engine_view.hpp"
#include "core/placement/placement_decision.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

struct admission_result;
struct answer_times;
struct caller_request;
struct relay_services;
struct upstream_entry;

/// Chooses upstreams for requests by the load that is known to this host.
class upstream_chooser {
public:
    explicit upstream_chooser(const relay_services& services) : services_(services) {}

    /// @param excluded  upstreams that must not be chosen
    placement_decision choose(const caller_request& request, const admission_result& admitted,
                              std::uint64_t key, const std::set<std::string>& excluded,
                              const answer_times& times) const;

    /// While engines are short, holds a request whose client account has used up its share: it
    /// waits if the share becomes free in time, and is refused otherwise.
    /// @param decision  the placement of a request that no upstream has seen
    placement_decision limit_to_share(placement_decision decision, const caller_request& request,
                                      const admission_result& admitted, std::uint64_t key) const;
    /// Engines that the account of a request has recently used, as a fraction of what it may use;
    /// 0 while the engines of its service are not short.
    double share_in_use(const admission_result& admitted) const;

    /// Requests per second that all upstreams of a service take together; absent if one of them
    /// names no limit.
    std::optional<double> total_rate(const std::string& service) const;

private:
    placement_decision choose_engine(const caller_request& request,
                                     const admission_result& admitted, std::uint64_t key,
                                     const std::set<std::string>& excluded,
                                     const answer_times& times) const;
    placement_decision choose_plain(const admission_result& admitted, std::uint64_t key,
                                    const std::set<std::string>& excluded) const;

    struct room_check {
        bool is_short = false;
        instant checked_at{};
        /// When a request of this rank and target last asked.
        instant wanted_at{};
        /// Running mean of the prefill times of such requests.
        duration usual_prefill{};
    };

    /// Engines that accept work of the service.
    std::vector<engine_view> accepting_engines(const admission_result& admitted, instant now) const;
    /// Whether the engines are short for requests like this one or for more urgent ones, and all
    /// hosts' work is known.
    bool shares_bind(const admission_result& admitted, instant now) const;
    /// Repeats an old check.
    bool is_short(const admission_result& admitted, int rank, duration target, room_check& check,
                  instant now) const;
    bool accepts(const upstream_entry& entry, instant now) const;
    /// Whether the operator evacuates the data centre of an upstream.
    bool evacuated(const upstream_entry& entry) const;
    /// Time until the limits of the upstream leave room for another request.
    duration rate_wait(const upstream_entry& entry, const admission_result& admitted,
                       instant now) const;
    bool within_rate(const upstream_entry& entry, const admission_result& admitted,
                     instant now) const;
    /// Why a request waits if no upstream has room within its limits.
    const char* rate_wait_reason(const admission_result& admitted) const;
    /// Returns the time until an upstream's limit leaves room, if none has room now.
    std::optional<duration> remaining_rate_wait(const admission_result& admitted) const;
    /// Returns the time until an upstream accepts requests again if all of them pause, or zero if
    /// that time is not known. Returns nothing if an upstream is not paused.
    std::optional<duration> remaining_pause(const std::string& service, std::uint64_t key) const;

    const relay_services& services_;
    /// Latest checks by service, rank and target.
    mutable std::map<std::tuple<std::string, int, duration>, room_check> room_checks_;
};

}  // namespace fuchsiaquay

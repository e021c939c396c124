#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

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
};

}  // namespace fuchsiaquay

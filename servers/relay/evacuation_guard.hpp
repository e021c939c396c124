#pragma once

#include "core/time/clock.hpp"

namespace fuchsiaquay {

struct placement_decision;
struct relay_services;

/// Tells whether requests may be sent to upstreams in view of evacuations of data centres.
class evacuation_guard {
public:
    static constexpr const char* not_informed_reason = "evacuations_unknown";
    /// Retry delay for callers while this host is not informed. Another host usually tells it
    /// within this time.
    static constexpr duration not_informed_retry_after = std::chrono::milliseconds(700);

    explicit evacuation_guard(const relay_services& services) : services_(services) {}

    /// False if the copy of the evacuations is missing or too old, so that nothing may be sent.
    bool informed() const;
    /// Whether the request may be sent to all engines of a placement.
    bool allows(const placement_decision& decision) const;

private:
    const relay_services& services_;
};

}  // namespace fuchsiaquay

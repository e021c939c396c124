#pragma once

#include <optional>

#include "servers/relay/rejection.hpp"

namespace fuchsiaquay {

struct placement_decision;
struct relay_services;

/// Tells whether requests may be sent to upstreams in view of evacuations of data centres.
class evacuation_guard {
public:
    explicit evacuation_guard(const relay_services& services) : services_(services) {}

    /// Why nothing may be sent at all: the copy of the evacuations is missing or too old. Absent if
    /// it is current.
    std::optional<rejection> refusal() const;
    /// Whether the request may be sent to all engines of a placement.
    bool allows(const placement_decision& decision) const;

private:
    const relay_services& services_;
};

}  // namespace fuchsiaquay

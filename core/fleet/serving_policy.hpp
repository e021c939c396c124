#pragma once

#include <cstddef>
#include <vector>

#include "core/fleet/host_record.hpp"
#include "core/fleet/serving_settings.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Which hosts of a data centre serve callers. Answers the pattern "hundreds of hosts, little work
/// for each": every host that chooses engines has to hear of every choice, so only as many serve as
/// the load needs, those with most processor time first.
class serving_policy {
public:
    explicit serving_policy(const serving_settings& settings) : settings_(settings) {}

    /// Hosts of one data centre that serve `requests_per_s` there.
    std::size_t required_hosts(double requests_per_s) const;
    /// Time after which a host takes up service when it finds a new fleet without serving hosts:
    /// the largest go first, and equal ones not all at once.
    duration start_delay(const host_record& host) const;
    /// Whether `one` serves rather than `other`.
    static bool is_preferred(const host_record& one, const host_record& other);
    /// The host of `hosts` that goes first; null where there are none.
    static const host_record* most_preferred(const std::vector<host_record>& hosts);

private:
    serving_settings settings_;
};

}  // namespace fuchsiaquay

#pragma once

#include <cstddef>
#include <vector>

#include "core/fleet/host_record.hpp"
#include "core/fleet/serving_settings.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Determines which hosts of a data centre serve callers. Each host that chooses engines has to be
/// notified of the choices of all others, which does not scale to hundreds of hosts with little
/// work each. Therefore only as many hosts serve as the load requires, starting with those that
/// have the largest processor share.
class serving_policy {
public:
    explicit serving_policy(const serving_settings& settings) : settings_(settings) {}

    /// Number of hosts of one data centre that are needed to serve `requests_per_s` there.
    std::size_t required_hosts(double requests_per_s) const;
    /// Delay before a host starts to serve if too few or no hosts serve: large hosts start first,
    /// and hosts of the same size start at different times.
    duration start_delay(const host_record& host) const;
    /// Whether `candidate` is preferred over `other` for serving.
    static bool is_preferred(const host_record& candidate, const host_record& other);
    /// The preferred host of `hosts`; null if the list is empty.
    static const host_record* most_preferred(const std::vector<host_record>& hosts);

private:
    serving_settings settings_;
};

}  // namespace fuchsiaquay

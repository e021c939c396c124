#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/fleet/caller_limits.hpp"
#include "core/fleet/customer_terms.hpp"
#include "core/fleet/route.hpp"
#include "core/fleet/service_profile.hpp"

namespace fuchsiaquay {

/// One version of the operators' configuration. Immutable once shared.
class fleet_configuration {
public:
    /// @param version  grows with each change, in uneven steps
    /// @param keyed  whether requests need a key, except on public routes
    fleet_configuration(std::int64_t version, caller_limits limits, bool keyed);

    void add_route(route item);
    void add_service(service_profile item);
    void add_key(const std::string& key, customer_terms terms);

    std::int64_t version() const noexcept { return version_; }
    const caller_limits& limits() const noexcept { return limits_; }
    bool requires_key() const noexcept { return keyed_; }
    std::size_t route_count() const noexcept { return route_count_; }
    const std::unordered_map<std::string, service_profile>& services() const noexcept {
        return services_;
    }

    /// Route of `host` with the longest prefix that begins `path`; null when none matches.
    const route* find_route(std::string_view host, std::string_view path) const;
    /// Holder of `key`; null when no customer holds it.
    const customer_terms* find_customer(const std::string& key) const;
    /// Null when the configuration does not name the service.
    const service_profile* find_service(const std::string& name) const;

private:
    std::int64_t version_;
    caller_limits limits_;
    bool keyed_;
    std::size_t route_count_ = 0;
    /// By lower-case host name; longest prefix first.
    std::unordered_map<std::string, std::vector<route>> routes_;
    std::unordered_map<std::string, service_profile> services_;
    std::unordered_map<std::string, customer_terms> keys_;
};

/// Service for the request `id`: the split of the route's weights, the same on every host.
const std::string& choose_service(const route& terms, std::string_view id);

}  // namespace fuchsiaquay

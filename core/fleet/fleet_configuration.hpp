#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/fleet/caller_limits.hpp"
#include "core/fleet/customer_terms.hpp"
#include "core/fleet/route.hpp"
#include "core/fleet/service_profile.hpp"

namespace fuchsiaquay {

/// One version of the operators' configuration. Must not be modified once it is shared.
class fleet_configuration {
public:
    /// @param version  increases with each change, not necessarily by one
    /// @param requires_key  whether requests need a key, except on public routes
    fleet_configuration(std::int64_t version, caller_limits limits, bool requires_key);

    void add_route(route item);
    void add_service(service_profile item);
    void add_key(const std::string& key, customer_terms terms);

    std::int64_t version() const noexcept { return version_; }
    const caller_limits& limits() const noexcept { return limits_; }
    bool requires_key() const noexcept { return requires_key_; }
    std::size_t route_count() const noexcept { return route_count_; }
    const std::unordered_map<std::string, service_profile>& services() const noexcept {
        return services_;
    }

    /// Route of `host` with the longest prefix of `path`; null if none matches.
    const route* find_route(std::string_view host, std::string_view path) const;
    /// Customer that owns `key`; null if the key is unknown.
    const customer_terms* find_customer(const std::string& key) const;
    /// Null if the configuration does not contain the service.
    const service_profile* find_service(const std::string& name) const;
    /// Whether several client accounts share a service whose routes differ in rank.
    bool accounts_compete_for(const std::string& service) const;

private:
    std::int64_t version_;
    caller_limits limits_;
    bool requires_key_;
    std::size_t route_count_ = 0;
    /// Routes by lower-case host name, ordered by descending length of the prefix.
    std::unordered_map<std::string, std::vector<route>> routes_;
    std::unordered_map<std::string, service_profile> services_;
    std::unordered_map<std::string, customer_terms> keys_;
    std::unordered_set<std::string> customers_;
    /// Ranks of the routes to each service.
    std::unordered_map<std::string, std::set<int>> ranks_;
};

/// Selects a service for the request `id` according to the weights of the route. Deterministic, so
/// that every host selects the same service.
const std::string& choose_service(const route& matched_route, std::string_view id);

}  // namespace fuchsiaquay

#include "core/fleet/fleet_configuration.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

#include "core/hashing/hash.hpp"

namespace fuchsiaquay {

namespace {

/// Normalizes a host name for comparison: lower case, without the port.
std::string normalize_host(std::string_view host) {
    std::string result(host.substr(0, host.find(':')));
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

bool starts_with(std::string_view text, std::string_view prefix) {
    return text.substr(0, prefix.size()) == prefix;
}

}  // namespace

fleet_configuration::fleet_configuration(std::int64_t version, caller_limits limits,
                                         bool requires_key)
    : version_(version), limits_(limits), requires_key_(requires_key) {}

void fleet_configuration::add_route(route item) {
    for (const weighted_service& target : item.services) {
        ranks_[target.service].insert(item.rank);
    }
    std::vector<route>& host_routes = routes_[normalize_host(item.host)];
    const auto position = std::upper_bound(
        host_routes.begin(), host_routes.end(), item,
        [](const route& a, const route& b) { return a.prefix.size() > b.prefix.size(); });
    host_routes.insert(position, std::move(item));
    ++route_count_;
}

void fleet_configuration::add_service(service_profile item) {
    std::string name = item.name;
    services_[std::move(name)] = std::move(item);
}

void fleet_configuration::add_key(const std::string& key, customer_terms terms) {
    customers_.insert(terms.customer);
    keys_[key] = std::move(terms);
}

bool fleet_configuration::accounts_compete_for(const std::string& service) const {
    const auto ranks = ranks_.find(service);
    return customers_.size() > 1 && ranks != ranks_.end() && ranks->second.size() > 1;
}

const route* fleet_configuration::find_route(std::string_view host, std::string_view path) const {
    const auto found = routes_.find(normalize_host(host));
    if (found == routes_.end()) {
        return nullptr;
    }
    const auto match = std::find_if(
        found->second.begin(), found->second.end(),
        [path](const route& candidate) { return starts_with(path, candidate.prefix); });
    return match == found->second.end() ? nullptr : &*match;
}

const customer_terms* fleet_configuration::find_customer(const std::string& key) const {
    const auto found = keys_.find(key);
    return found == keys_.end() ? nullptr : &found->second;
}

const service_profile* fleet_configuration::find_service(const std::string& name) const {
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

const std::string& choose_service(const route& matched_route, std::string_view id) {
    double total = 0.0;
    for (const weighted_service& candidate : matched_route.services) {
        total += candidate.weight;
    }
    constexpr std::uint64_t resolution = 1'000'000;
    double point =
        total * static_cast<double>(stable_hash(id) % resolution) / static_cast<double>(resolution);
    for (const weighted_service& candidate : matched_route.services) {
        if (point < candidate.weight) {
            return candidate.service;
        }
        point -= candidate.weight;
    }
    return matched_route.services.back().service;
}

}  // namespace fuchsiaquay

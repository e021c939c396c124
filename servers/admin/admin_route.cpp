#include "servers/admin/admin_route.hpp"

#include <optional>
#include <sstream>
#include <vector>

namespace fuchsiaquay {
namespace {

std::vector<std::string> split(const std::string& path) {
    std::vector<std::string> parts;
    std::istringstream text(path);
    for (std::string part; std::getline(text, part, '/');) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

std::optional<std::map<std::string, std::string>> match(std::string_view pattern,
                                                        const std::vector<std::string>& path) {
    const std::vector<std::string> pattern_parts = split(std::string(pattern));
    if (pattern_parts.size() != path.size()) {
        return std::nullopt;
    }
    std::map<std::string, std::string> parameters;
    for (std::size_t i = 0; i < path.size(); ++i) {
        if (pattern_parts[i].front() == '{') {
            parameters[pattern_parts[i].substr(1, pattern_parts[i].size() - 2)] = path[i];
        } else if (pattern_parts[i] != path[i]) {
            return std::nullopt;
        }
    }
    return parameters;
}

}  // namespace

const std::array<admin_route, admin_route_count>& admin_routes() {
    using operation = admin_operation;
    constexpr operator_role read = operator_role::read;
    constexpr operator_role change = operator_role::change;
    static constexpr std::array<admin_route, admin_route_count> routes{{
        {operation::list_contracts, "list_contracts", "GET", "/admin/v1/contracts", read},
        {operation::read_contract, "read_contract", "GET", "/admin/v1/contracts/{customer}", read},
        {operation::write_contract, "write_contract", "PUT", "/admin/v1/contracts/{customer}",
         change},
        {operation::delete_contract, "delete_contract", "DELETE", "/admin/v1/contracts/{customer}",
         change},
        {operation::read_history, "read_history", "GET", "/admin/v1/contracts/{customer}/history",
         read},
        {operation::issue_key, "issue_key", "POST", "/admin/v1/contracts/{customer}/keys", change},
        {operation::rotate_key, "rotate_key", "POST",
         "/admin/v1/contracts/{customer}/keys/{digest}/rotate", change},
        {operation::revoke_key, "revoke_key", "DELETE",
         "/admin/v1/contracts/{customer}/keys/{digest}", change},
        {operation::list_upstreams, "list_upstreams", "GET", "/admin/v1/upstreams", read},
        {operation::add_upstream, "add_upstream", "PUT", "/admin/v1/upstreams/{id}", change},
        {operation::drain_upstream, "drain_upstream", "POST", "/admin/v1/upstreams/{id}/drain",
         change},
        {operation::remove_upstream, "remove_upstream", "DELETE", "/admin/v1/upstreams/{id}",
         change},
        {operation::list_models, "list_models", "GET", "/admin/v1/models", read},
        {operation::list_nodes, "list_nodes", "GET", "/admin/v1/nodes", read},
        {operation::drain_node, "drain_node", "POST", "/admin/v1/nodes/{host}/drain", change},
        {operation::list_limits, "list_limits", "GET", "/admin/v1/limits", read},
        {operation::explain, "explain", "POST", "/admin/v1/explain", read},
        {operation::read_status, "read_status", "GET", "/admin/v1/status", read},
    }};
    return routes;
}

route_match find_route(const std::string& method, const std::string& path) {
    const std::vector<std::string> parts = split(path);
    route_match result;
    for (const admin_route& route : admin_routes()) {
        const auto parameters = match(route.pattern, parts);
        if (!parameters) {
            continue;
        }
        if (route.method == method) {
            return {&route, false, *parameters};
        }
        result.other_method = true;
    }
    return result;
}

}  // namespace fuchsiaquay

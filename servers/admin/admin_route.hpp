#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "servers/admin/operator_identity.hpp"

namespace fuchsiaquay {

/// Operation of the administration API.
enum class admin_operation {
    list_contracts,
    read_contract,
    write_contract,
    delete_contract,
    read_history,
    issue_key,
    rotate_key,
    revoke_key,
    list_upstreams,
    add_upstream,
    drain_upstream,
    remove_upstream,
    list_models,
    list_nodes,
    drain_node,
    list_limits,
    explain,
    read_status,
};

/// One operation with its method, its path and the required role.
struct admin_route {
    admin_operation operation = admin_operation::read_status;
    /// Name in the OpenAPI description.
    std::string_view name;
    std::string_view method;
    /// Path with parameters in braces.
    std::string_view pattern;
    operator_role role = operator_role::read;
};

/// Result of matching a request to the routes, with the values of the path parameters.
struct route_match {
    const admin_route* route = nullptr;
    /// True if the path exists, but not with this method.
    bool other_method = false;
    std::map<std::string, std::string> parameters;
};

/// Number of operations.
constexpr std::size_t admin_route_count = 18;

/// All routes of the administration API. This is the only list of them.
const std::array<admin_route, admin_route_count>& admin_routes();

/// Finds the route for a method and a path; `route` is null if there is none.
route_match find_route(const std::string& method, const std::string& path);

}  // namespace fuchsiaquay

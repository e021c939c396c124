#pragma once

#include <functional>
#include <map>
#include <string>

#include "servers/admin/admin_reply.hpp"
#include "servers/admin/admin_request.hpp"
#include "servers/admin/operator_identity.hpp"

namespace fuchsiaquay {

/// An authenticated request for which a route was found.
struct admin_call {
    admin_request request;
    operator_identity author;
    std::map<std::string, std::string> parameters;
    /// Called exactly once.
    std::function<void(const admin_reply&)> done;

    bool dry_run() const {
        const auto found = request.query.find("dry_run");
        return found != request.query.end() && found->second == "true";
    }
    /// Value of a path parameter, which must be part of the route.
    const std::string& parameter(const std::string& name) const { return parameters.at(name); }
};

}  // namespace fuchsiaquay

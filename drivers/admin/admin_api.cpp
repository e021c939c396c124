#include "drivers/admin/admin_api.hpp"

#include "core/error/operation_error.hpp"
#include "drivers/admin/admin_json.hpp"
#include "servers/decision_log.hpp"

namespace fuchsiaquay {

admin_api::admin_api(const admin_services& services)
    : services_(services),
      operators_(services.store, services.timers, services.log, services.bootstrap_token_digest),
      contracts_(services_),
      fleet_(services_) {}

void admin_api::handle(const admin_request& request, const reply_handler& done) {
    operators_.authenticate(request.token, [this, request,
                                            done](const std::optional<operator_identity>& author) {
        if (!author) {
            done(error_reply(status_unauthorized, "unauthorized", "an operator token is required"));
            return;
        }
        handle_authenticated(request, *author, done);
    });
}

void admin_api::handle_authenticated(const admin_request& request, const operator_identity& author,
                                     const reply_handler& done) {
    const route_match found = find_route(request.method, request.path);
    if (found.route == nullptr) {
        done(found.other_method
                 ? error_reply(status_method_not_allowed, "method_not_allowed",
                               "this path does not take " + request.method)
                 : error_reply(status_not_found, "no_such_path", "there is no such path"));
        return;
    }
    if (found.route->role == operator_role::change && author.role != operator_role::change) {
        services_.log.write(
            decision_log::level::warning, "admin_forbidden",
            {{"operator", author.name}, {"method", request.method}, {"path", request.path}});
        done(error_reply(status_forbidden, "forbidden", "this operator may only read"));
        return;
    }
    try {
        run(found.route->operation, admin_call{request, author, found.parameters, done});
    } catch (const operation_error& error) {
        services_.log.write(decision_log::level::error, "admin_failed",
                            {{"path", request.path}, {"error", error.what()}});
        done(error_reply(status_unavailable, "unavailable", error.what()));
    }
}

void admin_api::run(admin_operation operation, const admin_call& call) {
    switch (operation) {
        case admin_operation::list_contracts:
            return contracts_.list(call);
        case admin_operation::read_contract:
            return contracts_.read(call);
        case admin_operation::write_contract:
            return contracts_.write(call);
        case admin_operation::delete_contract:
            return contracts_.erase(call);
        case admin_operation::read_history:
            return contracts_.history(call);
        case admin_operation::issue_key:
            return contracts_.issue_key(call);
        case admin_operation::rotate_key:
            return contracts_.rotate_key(call);
        case admin_operation::revoke_key:
            return contracts_.revoke_key(call);
        case admin_operation::list_upstreams:
            return fleet_.list_upstreams(call);
        case admin_operation::add_upstream:
            return fleet_.add_upstream(call);
        case admin_operation::drain_upstream:
            return fleet_.drain_upstream(call);
        case admin_operation::remove_upstream:
            return fleet_.remove_upstream(call);
        case admin_operation::list_models:
            return fleet_.list_models(call);
        case admin_operation::list_nodes:
            return fleet_.list_nodes(call);
        case admin_operation::drain_node:
            return fleet_.drain_node(call);
        case admin_operation::list_limits:
            return fleet_.list_limits(call);
        case admin_operation::explain:
            return fleet_.explain(call);
        case admin_operation::read_status:
            return fleet_.status(call);
    }
}

}  // namespace fuchsiaquay

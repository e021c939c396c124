#pragma once

#include <functional>

#include "drivers/admin/admin_services.hpp"
#include "drivers/admin/contract_handlers.hpp"
#include "drivers/admin/fleet_handlers.hpp"
#include "drivers/admin/operator_authenticator.hpp"
#include "servers/admin/admin_reply.hpp"
#include "servers/admin/admin_request.hpp"
#include "servers/admin/admin_route.hpp"

namespace fuchsiaquay {

/// The administration API: authenticates the operator, finds the route, checks the role and runs
/// the operation. Runs on the control thread and does not depend on HTTP.
class admin_api {
public:
    using reply_handler = std::function<void(const admin_reply&)>;

    explicit admin_api(const admin_services& services);
    ~admin_api() = default;
    admin_api(const admin_api&) = delete;
    admin_api& operator=(const admin_api&) = delete;

    /// Calls `done` exactly once, possibly before it returns.
    void handle(const admin_request& request, const reply_handler& done);

private:
    void handle_authenticated(const admin_request& request, const operator_identity& author,
                              const reply_handler& done);
    void run(admin_operation operation, const admin_call& call);

    admin_services services_;
    operator_authenticator operators_;
    contract_handlers contracts_;
    fleet_handlers fleet_;
};

}  // namespace fuchsiaquay

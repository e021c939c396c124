#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "drivers/admin/admin_api.hpp"
#include "servers/admin/node_operations.hpp"
#include "servers/routing/route_explainer.hpp"

namespace fuchsiaquay {

class control_loop;
class control_plane;
class decision_log;
class request_plane;
struct node_settings;

/// Administration API of a node, with the node operations that it calls.
class node_administration final : public node_operations {
public:
    /// @param start_drain  begins the graceful shutdown of this node
    node_administration(const node_settings& settings, control_loop& loop, decision_log& log,
                        control_plane& control, request_plane& requests,
                        std::function<void()> start_drain);

    void drain(const host_id& host, const done_handler& done) override;
    std::vector<std::pair<std::string, double>> status_values() const override;

private:
    control_plane& control_;
    request_plane& requests_;
    std::function<void()> start_drain_;
    route_explainer explainer_;
    admin_api api_;
};

}  // namespace fuchsiaquay

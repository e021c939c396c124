#pragma once

#include <functional>
#include <string>

#include "drivers/admin/admin_call.hpp"

namespace fuchsiaquay {

struct admin_services;
struct operator_upstream;

/// Operations on upstreams and nodes, and the read-only views for operators.
class fleet_handlers {
public:
    explicit fleet_handlers(const admin_services& services) : services_(services) {}

    void list_upstreams(const admin_call& call) const;
    void add_upstream(const admin_call& call) const;
    void drain_upstream(const admin_call& call) const;
    void remove_upstream(const admin_call& call) const;
    void list_models(const admin_call& call) const;
    void list_nodes(const admin_call& call) const;
    void drain_node(const admin_call& call) const;
    void list_limits(const admin_call& call) const;
    void explain(const admin_call& call) const;
    void status(const admin_call& call) const;

private:
    using record_change = std::function<void(operator_upstream&)>;

    /// Reads the operators' record of an upstream, applies `change` and writes the record back
    /// unless it has been changed in the meantime.
    void change_record(const admin_call& call, const record_change& change) const;
    void write_record(const admin_call& call, const operator_upstream& record,
                      std::int64_t expected_revision) const;
    void audit(const admin_call& call, const std::string& outcome) const;

    const admin_services& services_;
};

}  // namespace fuchsiaquay

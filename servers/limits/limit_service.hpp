#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "core/limits/customer_budget.hpp"
#include "core/limits/host_history.hpp"
#include "core/limits/limit_keeper.hpp"
#include "core/limits/limit_verdict.hpp"
#include "servers/limits/limit_usage.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

class contract_view;
class decision_log;
class host_view;
class peer_transport;
struct contract;

/// Enforces the limits of customers across all hosts. It admits requests from this host's share of
/// each limit, requests shares from the limit keepers and is itself the keeper for some customers.
/// Runs on the control thread.
class limit_service {
public:
    /// @param hosts_per_customer  number of hosts that the directory assigns to a customer
    limit_service(timer_service& timers, peer_transport& transport, const host_view& hosts,
                  const contract_view& contracts, decision_log& log,
                  std::size_t hosts_per_customer);
    ~limit_service();
    limit_service(const limit_service&) = delete;
    limit_service& operator=(const limit_service&) = delete;

    void start();
    void stop();

    /// Admits or rejects a request of an estimated number of `tokens` in prompt and answer. Call
    /// `finish` for each admitted request.
    limit_verdict admit(const contract& terms, double tokens);
    /// Ends an admitted request.
    /// @param actual  number of tokens that it used
    void finish(const customer_id& customer, double estimated, double actual);

    void receive(const host_id& sender, const budget_request& request);
    void receive(const host_id& sender, const budget_grant& grant);

    /// Usage of the limits of each customer on this host.
    std::vector<limit_usage> usage() const;

private:
    void tick();
    void observe_hosts();
    host_id keeper_of(const customer_id& customer) const;
    void request_share(const customer_id& customer, customer_budget& budget);
    budget_grant grant_share(const budget_request& request);

    timer_service& timers_;
    peer_transport& transport_;
    const host_view& hosts_;
    const contract_view& contracts_;
    decision_log& log_;
    double static_fraction_;
    host_history host_history_;
    limit_keeper keeper_;
    std::map<customer_id, customer_budget> budgets_;
    timer_service::subscription subscription_ = 0;
};

}  // namespace fuchsiaquay

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

/// Holds the limits of customers over all hosts: admits from the share of this host, asks limit
/// keepers for shares, and is the keeper of some customers. Runs on the control thread.
class limit_service {
public:
    /// @param hosts_per_customer  hosts that the directory names to a customer
    limit_service(timer_service& timers, peer_transport& transport, const host_view& hosts,
                  const contract_view& contracts, decision_log& log,
                  std::size_t hosts_per_customer);
    ~limit_service();
    limit_service(const limit_service&) = delete;
    limit_service& operator=(const limit_service&) = delete;

    void start();
    void stop();

    /// Takes in a request of about `tokens`, prompt and answer; `finish` has to follow.
    limit_verdict admit(const contract& terms, double tokens);
    /// Ends an admitted request.
    /// @param actual  tokens that it cost in the end
    void finish(const customer_id& customer, double estimated, double actual);

    void receive(const host_id& sender, const budget_request& request);
    void receive(const host_id& sender, const budget_grant& grant);

    /// Limits in use on this host.
    std::vector<limit_usage> usage() const;

private:
    void tick();
    void observe_hosts();
    host_id keeper_of(const customer_id& customer) const;
    void ask(const customer_id& customer, customer_budget& budget);
    budget_grant decide(const budget_request& request);

    timer_service& timers_;
    peer_transport& transport_;
    const host_view& hosts_;
    const contract_view& contracts_;
    decision_log& log_;
    double static_fraction_;
    host_history memory_;
    limit_keeper keeper_;
    std::map<customer_id, customer_budget> budgets_;
    timer_service::subscription subscription_ = 0;
};

}  // namespace fuchsiaquay

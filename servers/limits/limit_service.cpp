#include "servers/limits/limit_service.hpp"

#include <algorithm>
#include <iterator>
#include <string>

#include "core/contract/contract.hpp"
#include "core/hashing/rendezvous.hpp"
#include "servers/decision_log.hpp"
#include "servers/peer_transport.hpp"
#include "servers/views/contract_view.hpp"
#include "servers/views/host_view.hpp"

namespace fuchsiaquay {
namespace {

constexpr duration tick_period = std::chrono::milliseconds(200);

std::string keeper_key(const customer_id& customer) {
    return "limits/" + customer.value();
}

}  // namespace

limit_service::limit_service(timer_service& timers, peer_transport& transport,
                             const host_view& hosts, const contract_view& contracts,
                             decision_log& log, std::size_t hosts_per_customer)
    : timers_(timers),
      transport_(transport),
      hosts_(hosts),
      contracts_(contracts),
      log_(log),
      static_fraction_(1.0 / static_cast<double>(std::max<std::size_t>(1, hosts_per_customer))) {}

limit_service::~limit_service() {
    stop();
}

void limit_service::start() {
    observe_hosts();
    subscription_ = timers_.every(tick_period, [this] { tick(); });
}

void limit_service::stop() {
    timers_.cancel(subscription_);
}

void limit_service::observe_hosts() {
    std::vector<host_id> live;
    for (const member_update& host : hosts_.live_hosts()) {
        live.push_back(host.host);
    }
    std::vector<host_id> leaving;
    for (const host_id& known : host_history_.live()) {
        const auto found = hosts_.find(known);
        if (found && found->state == member_state::leaving) {
            leaving.push_back(known);
        }
    }
    host_history_.observe(live, leaving, timers_.now());
}

void limit_service::tick() {
    observe_hosts();
    const instant now = timers_.now();
    for (auto it = budgets_.begin(); it != budgets_.end();) {
        customer_budget& budget = it->second;
        budget.check_keeper(now);
        if (budget.idle(now)) {
            // A request that reports no use returns the share.
            request_share(it->first, budget);
            it = budgets_.erase(it);
            continue;
        }
        if (now - budget.requested_at() >= budget.request_interval(now)) {
            request_share(it->first, budget);
        }
        ++it;
    }
    keeper_.expire(now);
}

host_id limit_service::keeper_of(const customer_id& customer) const {
    return rendezvous_owner(keeper_key(customer), host_history_.live());
}

limit_verdict limit_service::admit(const contract& terms, double tokens) {
    const instant now = timers_.now();
    auto found = budgets_.find(terms.customer);
    if (found == budgets_.end()) {
        found =
            budgets_.emplace(terms.customer, customer_budget(terms.limits, static_fraction_, now))
                .first;
        request_share(terms.customer, found->second);
    }
    customer_budget& budget = found->second;
    budget.set_limits(terms.limits, now);
    const limit_verdict verdict = budget.admit(tokens, now);
    if (!verdict.admitted()) {
        log_.write(decision_log::level::info, "limit_reached",
                   {{"customer", terms.customer.value()},
                    {"limit", to_text(verdict.reached)},
                    {"running", std::to_string(budget.running())},
                    {"share_requests", std::to_string(budget.share().requests)},
                    {"share_tokens", std::to_string(budget.share().tokens)},
                    {"share_concurrency", std::to_string(budget.share().concurrency)}});
    }
    return verdict;
}

void limit_service::finish(const customer_id& customer, double estimated, double actual) {
    const auto found = budgets_.find(customer);
    if (found != budgets_.end()) {
        found->second.finish(estimated, actual);
    }
}

void limit_service::request_share(const customer_id& customer, customer_budget& budget) {
    const auto terms = contracts_.find(customer);
    const budget_request request = budget.make_request(customer, hosts_.host().host,
                                                       terms ? terms->revision : 0, timers_.now());
    const host_id keeper = keeper_of(customer);
    if (keeper == hosts_.host().host || keeper.empty()) {
        budget.apply(grant_share(request), timers_.now());
        return;
    }
    const auto target = hosts_.find(keeper);
    if (target) {
        transport_.send(*target, request);
    }
}

budget_grant limit_service::grant_share(const budget_request& request) {
    const instant now = timers_.now();
    const auto terms = contracts_.find(request.customer);
    const bool new_keeper = host_history_.recently_became_owner(
        keeper_key(request.customer), hosts_.host().host, limit_keeper::share_retention, now);
    return keeper_.grant(request, terms ? terms->limits : customer_limits{},
                         {host_history_.live_fraction(now), new_keeper}, now);
}

void limit_service::receive(const host_id& sender, const budget_request& request) {
    const auto target = hosts_.find(sender);
    // A host without the contract cannot divide its limits, and a host that is not the keeper must
    // not divide them a second time.
    const bool is_keeper = keeper_of(request.customer) == hosts_.host().host;
    if (target && is_keeper && contracts_.find(request.customer)) {
        transport_.send(*target, grant_share(request));
    }
}

void limit_service::receive(const host_id& sender, const budget_grant& grant) {
    const auto found = budgets_.find(grant.customer);
    if (found != budgets_.end() && sender == keeper_of(grant.customer)) {
        found->second.apply(grant, timers_.now());
    }
}

std::vector<limit_usage> limit_service::usage() const {
    std::vector<limit_usage> all;
    for (const auto& [customer, budget] : budgets_) {
        all.push_back({customer, budget.limits(), budget.share(), budget.running(),
                       keeper_of(customer), budget.grant_age(timers_.now())});
    }
    return all;
}

}  // namespace fuchsiaquay

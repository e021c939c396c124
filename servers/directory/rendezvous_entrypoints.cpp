#include "servers/directory/rendezvous_entrypoints.hpp"

#include "core/contract/contract.hpp"
#include "core/directory/entrypoint_answer.hpp"
#include "core/hashing/rendezvous.hpp"
#include "servers/views/host_view.hpp"

namespace fuchsiaquay {

namespace {

/// Hosts named to one customer: enough to survive two failures at once.
constexpr std::size_t hosts_per_customer = 3;

}  // namespace

entrypoint_answer rendezvous_entrypoints::entrypoints(const contract& terms) const {
    std::vector<host_id> candidates;
    for (const member_update& member : hosts_.live_hosts()) {
        candidates.push_back(member.host);
    }
    entrypoint_answer answer;
    answer.keep_for = keep_for_;
    for (const host_id& id :
         rendezvous_order(terms.customer.value(), candidates, hosts_per_customer)) {
        if (const auto member = hosts_.find(id)) {
            answer.hosts.push_back({member->host, member->address, member->http_port});
        }
    }
    return answer;
}

}  // namespace fuchsiaquay

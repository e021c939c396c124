#include "core/directory/directory.hpp"

#include <map>

#include "core/hashing/rendezvous.hpp"

namespace fuchsiaquay {

entrypoint_answer choose_entrypoints(const directory_settings& settings,
                                     const customer_id& customer, const data_centre_id& home,
                                     const std::vector<member_update>& live) {
    std::map<host_id, const member_update*> by_host;
    std::vector<host_id> local;
    std::vector<host_id> remote;
    std::vector<host_id> suspects;
    for (const member_update& member : live) {
        by_host[member.host] = &member;
        if (member.state == member_state::suspect) {
            suspects.push_back(member.host);
        } else {
            (member.data_centre == home ? local : remote).push_back(member.host);
        }
    }
    std::vector<host_id> order;
    for (const std::vector<host_id>& group : {local, remote, suspects}) {
        const std::vector<host_id> chosen =
            rendezvous_order(customer.value(), group, settings.hosts_per_customer - order.size());
        order.insert(order.end(), chosen.begin(), chosen.end());
    }
    entrypoint_answer answer;
    answer.max_age = settings.max_age;
    for (const host_id& host : order) {
        const member_update& member = *by_host[host];
        answer.hosts.push_back(entrypoint{host, member.address, member.http_port});
    }
    return answer;
}

}  // namespace fuchsiaquay

#include "core/ownership/ownership.hpp"

#include <string>
#include <utility>

#include "core/hashing/rendezvous.hpp"
#include "core/upstreams/upstream.hpp"

namespace fuchsiaquay {

ownership::ownership(live_hosts hosts, data_centres centres)
    : hosts_(std::move(hosts)), centres_(std::move(centres)) {}

host_id ownership::owner_of(const upstream& target) const {
    const std::vector<host_id> local_hosts = hosts_(target.data_centre);
    if (!local_hosts.empty()) {
        return rendezvous_owner(target.id.value(), local_hosts);
    }
    std::vector<host_id> all;
    for (const data_centre_id& centre : centres_()) {
        const std::vector<host_id> hosts = hosts_(centre);
        all.insert(all.end(), hosts.begin(), hosts.end());
    }
    return rendezvous_owner(target.id.value(), all);
}

bool granted_by(const grant_id& grant, const host_id& host) {
    const std::string prefix = host.value() + "-";
    return grant.value().compare(0, prefix.size(), prefix) == 0;
}

}  // namespace fuchsiaquay

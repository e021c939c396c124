#include "core/membership/bridge_selector.hpp"

#include <algorithm>
#include <cstdint>

#include "core/hashing/rendezvous.hpp"
#include "core/membership/member_table.hpp"

namespace fuchsiaquay {
namespace {

constexpr const char* bridge_key = "bridge";
/// One in this many exchanges goes to a random host, in case all known bridges have failed.
constexpr std::uint64_t any_host_interval = 4;

}  // namespace

std::vector<host_id> bridge_selector::bridges_of(const member_table& table,
                                                 const data_centre_id& data_centre) const {
    return rendezvous_order(bridge_key, table.live_hosts(data_centre), bridges_per_data_centre_);
}

std::optional<member_update> bridge_selector::next_remote(const member_table& table,
                                                          const data_centre_id& own_data_centre,
                                                          std::mt19937_64& random) {
    std::vector<data_centre_id> others = table.data_centres();
    others.erase(std::remove(others.begin(), others.end(), own_data_centre), others.end());
    if (others.empty()) {
        return std::nullopt;
    }
    const data_centre_id& remote = others[next_data_centre_++ % others.size()];
    const bool use_any_host = random() % any_host_interval == 0;
    const std::vector<host_id> hosts =
        use_any_host ? table.live_hosts(remote) : bridges_of(table, remote);
    if (hosts.empty()) {
        return std::nullopt;
    }
    return table.find(hosts[random() % hosts.size()])->update;
}

}  // namespace fuchsiaquay

#include "drivers/traffic/upstream_connection_pool.hpp"

#include <algorithm>
#include <utility>

#include "drivers/net/socket_setup.hpp"

namespace fuchsiaquay {

namespace {

/// Limit for each upstream. Kept small because all hosts share the upstream's connection limit.
constexpr std::size_t max_idle_connections = 6;

}  // namespace

upstream_connection upstream_connection_pool::acquire(const upstream_lifetime& upstream,
                                                      instant now) {
    const auto found = idle_.find(upstream);
    if (found == idle_.end()) {
        return {};
    }
    while (!found->second.empty()) {
        const idle_connection idle = std::move(found->second.back());
        found->second.pop_back();
        if (idle.usable_until > now && is_idle_connection_usable(*idle.connection.socket)) {
            return idle.connection;
        }
    }
    return {};
}

void upstream_connection_pool::release(const upstream_lifetime& upstream,
                                       upstream_connection connection, instant now,
                                       duration usable_for) {
    std::vector<idle_connection>& connections = idle_[upstream];
    if (connections.size() < max_idle_connections && usable_for > duration::zero()) {
        connections.push_back({std::move(connection), now + usable_for});
    }
}

void upstream_connection_pool::remove_expired(instant now) {
    for (auto item = idle_.begin(); item != idle_.end();) {
        std::vector<idle_connection>& connections = item->second;
        connections.erase(std::remove_if(connections.begin(), connections.end(),
                                         [now](const idle_connection& connection) {
                                             return connection.usable_until <= now;
                                         }),
                          connections.end());
        item = connections.empty() ? idle_.erase(item) : std::next(item);
    }
}

std::size_t upstream_connection_pool::size() const {
    std::size_t total = 0;
    for (const auto& [upstream, connections] : idle_) {
        total += connections.size();
    }
    return total;
}

}  // namespace fuchsiaquay

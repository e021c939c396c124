#include "core/membership/probe_round.hpp"

#include <algorithm>

#include "core/membership/member_table.hpp"

namespace fuchsiaquay {

host_id probe_round::next(const member_table& table, const member_update& self,
                          std::mt19937_64& random) {
    while (true) {
        if (remaining_.empty()) {
            refill(table, self, random);
        }
        if (remaining_.empty()) {
            return host_id();
        }
        host_id target = remaining_.back();
        remaining_.pop_back();
        const member_entry* entry = table.find(target);
        if (entry != nullptr && entry->update.state != member_state::dead) {
            return target;
        }
    }
}

void probe_round::refill(const member_table& table, const member_update& self,
                         std::mt19937_64& random) {
    for (const auto& [host, entry] : table.entries()) {
        if (host != self.host && entry.update.data_centre == self.data_centre &&
            entry.update.state != member_state::dead) {
            remaining_.push_back(host);
        }
    }
    std::shuffle(remaining_.begin(), remaining_.end(), random);
}

}  // namespace fuchsiaquay

#include "core/membership/probe_round.hpp"

#include <algorithm>

#include "core/membership/member_table.hpp"

namespace fuchsiaquay {

host_id probe_round::next(const member_table& table, const member_update& self,
                          std::mt19937_64& random) {
    while (true) {
        if (left_.empty()) {
            refill(table, self, random);
        }
        if (left_.empty()) {
            return host_id();
        }
        host_id target = left_.back();
        left_.pop_back();
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
            left_.push_back(host);
        }
    }
    std::shuffle(left_.begin(), left_.end(), random);
}

}  // namespace fuchsiaquay

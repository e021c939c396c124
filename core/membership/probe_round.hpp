#pragma once

#include <random>
#include <vector>

#include "core/identity/names.hpp"
#include "core/messages/member_update.hpp"

namespace fuchsiaquay {

class member_table;

/// Order in which a host probes the other hosts of its data centre. Each host is probed once per
/// round in an order that is shuffled for each round. This bounds the time until a crashed host is
/// probed.
class probe_round {
public:
    /// Next host to probe, or an empty id if there is none.
    host_id next(const member_table& table, const member_update& self, std::mt19937_64& random);

private:
    void refill(const member_table& table, const member_update& self, std::mt19937_64& random);

    std::vector<host_id> remaining_;
};

}  // namespace fuchsiaquay

#pragma once

#include <cstddef>
#include <optional>
#include <random>
#include <vector>

#include "core/identity/names.hpp"
#include "core/messages/member_update.hpp"

namespace fuchsiaquay {

class member_table;

/// Chooses the bridges, the hosts through which data centres exchange updates: a few hosts of each
/// data centre, by rendezvous hashing.
class bridge_selector {
public:
    explicit bridge_selector(std::size_t bridges_per_data_centre)
        : bridges_per_data_centre_(bridges_per_data_centre) {}

    std::vector<host_id> bridges_of(const member_table& table,
                                    const data_centre_id& data_centre) const;
    /// Remote host for the next exchange. Cycles through the other data centres and usually chooses
    /// one of their bridges.
    std::optional<member_update> next_remote(const member_table& table,
                                             const data_centre_id& own_data_centre,
                                             std::mt19937_64& random);

private:
    std::size_t bridges_per_data_centre_;
    std::size_t next_data_centre_ = 0;
};

}  // namespace fuchsiaquay

#pragma once

#include <cstddef>
#include <optional>
#include <random>
#include <vector>

#include "core/identity/names.hpp"
#include "core/messages/member_update.hpp"

namespace fuchsiaquay {

class member_table;

/// Chooses the hosts through which data centres exchange updates: a few of each by rendezvous hash.
class bridge_selector {
public:
    explicit bridge_selector(std::size_t bridges) : bridges_(bridges) {}

    std::vector<host_id> bridges_of(const member_table& table,
                                    const data_centre_id& data_centre) const;
    /// Remote host for the next exchange: the other data centres take turns, mostly their bridges.
    std::optional<member_update> next_remote(const member_table& table, const data_centre_id& own,
                                             std::mt19937_64& random);

private:
    std::size_t bridges_;
    std::size_t next_data_centre_ = 0;
};

}  // namespace fuchsiaquay

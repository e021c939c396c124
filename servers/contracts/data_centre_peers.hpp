#pragma once

#include <vector>

#include "core/messages/member_update.hpp"

namespace fuchsiaquay {

/// Hosts of this node's data centre according to the membership.
class data_centre_peers {
public:
    data_centre_peers() = default;
    data_centre_peers(const data_centre_peers&) = delete;
    data_centre_peers& operator=(const data_centre_peers&) = delete;
    virtual ~data_centre_peers() = default;

    virtual host_id self() const = 0;
    virtual data_centre_id data_centre() const = 0;
    /// Live hosts of the data centre, including this one.
    virtual std::vector<member_update> live() const = 0;
};

}  // namespace fuchsiaquay

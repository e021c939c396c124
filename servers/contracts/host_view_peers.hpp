#pragma once

#include <vector>

#include "servers/contracts/data_centre_peers.hpp"
#include "servers/views/host_view.hpp"

namespace fuchsiaquay {

/// The live hosts of the own data centre, taken from the membership.
class host_view_peers final : public data_centre_peers {
public:
    explicit host_view_peers(const host_view& hosts) : hosts_(hosts) {}

    host_id self() const override { return hosts_.host().host; }
    data_centre_id data_centre() const override { return hosts_.host().data_centre; }
    std::vector<member_update> live() const override {
        std::vector<member_update> near;
        for (const member_update& host : hosts_.live_hosts()) {
            if (host.data_centre == data_centre()) {
                near.push_back(host);
            }
        }
        return near;
    }

private:
    const host_view& hosts_;
};

}  // namespace fuchsiaquay

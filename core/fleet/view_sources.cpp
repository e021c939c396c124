#include "core/fleet/view_sources.hpp"

#include <algorithm>

namespace fuchsiaquay {

std::vector<host_id> view_sources(const std::vector<host_record>& hosts,
                                  const std::string& data_centre) {
    double largest_share = 0.0;
    for (const host_record& host : hosts) {
        if (host.data_centre == data_centre) {
            largest_share = std::max(largest_share, host.processor_share);
        }
    }
    std::vector<host_id> all;
    std::vector<host_id> largest;
    for (const host_record& host : hosts) {
        if (host.data_centre != data_centre) {
            continue;
        }
        all.emplace_back(host.host);
        if (host.processor_share >= largest_share) {
            largest.emplace_back(host.host);
        }
    }
    return largest.size() < min_view_sources ? all : largest;
}

}  // namespace fuchsiaquay

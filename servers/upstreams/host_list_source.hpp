#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/upstreams/upstream.hpp"

namespace fuchsiaquay {

/// The platform's lagging list of live and leaving upstreams.
class host_list_source {
public:
    /// Receives the list, or a failure text with an empty list; on the control thread, once.
    using list_handler =
        std::function<void(const std::string& failure, const std::vector<upstream>& upstreams)>;

    host_list_source() = default;
    host_list_source(const host_list_source&) = delete;
    host_list_source& operator=(const host_list_source&) = delete;
    virtual ~host_list_source() = default;

    virtual void read(list_handler done) = 0;
};

}  // namespace fuchsiaquay

#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/upstreams/upstream.hpp"

namespace fuchsiaquay {

/// The platform's list of live and leaving upstreams. It lags behind the actual state.
class host_list_source {
public:
    /// Receives the list, or an error message and an empty list. Called once on the control thread.
    using list_handler =
        std::function<void(const std::string& failure, const std::vector<upstream>& upstreams)>;

    host_list_source() = default;
    host_list_source(const host_list_source&) = delete;
    host_list_source& operator=(const host_list_source&) = delete;
    virtual ~host_list_source() = default;

    virtual void read(list_handler done) = 0;
};

}  // namespace fuchsiaquay

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/time/clock.hpp"
#include "core/upstreams/upstream.hpp"

namespace fuchsiaquay {

class control_loop;

/// Reads the platform's list of live and leaving hosts: `GET /platform/v1/hosts`.
class host_list_client {
public:
    /// Receives the list, or a failure text with an empty list; on the control thread, once.
    using list_handler =
        std::function<void(const std::string& failure, const std::vector<upstream>& upstreams)>;

    host_list_client(control_loop& loop, std::string base_uri, duration timeout);
    host_list_client(const host_list_client&) = delete;
    host_list_client& operator=(const host_list_client&) = delete;
    ~host_list_client();

    void read(list_handler done);

private:
    control_loop& loop_;
    std::string base_uri_;
    duration timeout_;
};

}  // namespace fuchsiaquay

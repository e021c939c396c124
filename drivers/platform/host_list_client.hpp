#pragma once

#include <string>

#include "core/time/clock.hpp"
#include "servers/upstreams/host_list_source.hpp"

namespace fuchsiaquay {

class control_loop;

/// Reads the list of live and leaving hosts from the platform: `GET /platform/v1/hosts`.
class host_list_client final : public host_list_source {
public:
    host_list_client(control_loop& loop, std::string base_uri, duration timeout);
    host_list_client(const host_list_client&) = delete;
    host_list_client& operator=(const host_list_client&) = delete;
    ~host_list_client() override;

    void read(list_handler done) override;

private:
    control_loop& loop_;
    std::string base_uri_;
    duration timeout_;
};

}  // namespace fuchsiaquay

#pragma once

#include <map>
#include <memory>
#include <string>

#include "drivers/net/http_endpoint.hpp"
#include "servers/fleet/host_queries.hpp"

namespace fuchsiaquay {

class control_loop;
class http_channel;

/// Path at which a host gives its configuration: the revision, a line break, the text.
constexpr const char* configuration_query_path = "/configuration";

/// Questions to other hosts over kept connections.
class http_host_queries final : public host_queries {
public:
    explicit http_host_queries(control_loop& loop);
    http_host_queries(const http_host_queries&) = delete;
    http_host_queries& operator=(const http_host_queries&) = delete;
    ~http_host_queries() override;

    void fetch_configuration(const network_address& host, configuration_handler done) override;

private:
    control_loop& loop_;
    std::map<network_address, std::unique_ptr<http_channel>> channels_;
};

/// Answer to a question for the configuration. A large one is left to the store, whose link is
/// wider than that of a host.
http_endpoint::reply answer_configuration_query(const stored_value& configuration);

}  // namespace fuchsiaquay

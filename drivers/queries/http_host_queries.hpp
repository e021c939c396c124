#pragma once

#include <map>
#include <memory>
#include <string>

#include "drivers/net/http_endpoint.hpp"
#include "servers/fleet/host_queries.hpp"

namespace fuchsiaquay {

class control_loop;
class http_channel;

/// Path at which a host gives its configuration. The query `known` names the revision that the
/// asker has; the answer is a line `REVISION BASE` and the text, or the delta to BASE where that is
/// not 0.
constexpr const char* configuration_query_path = "/configuration";

/// Questions to other hosts over kept connections.
class http_host_queries final : public host_queries {
public:
    explicit http_host_queries(control_loop& loop);
    http_host_queries(const http_host_queries&) = delete;
    http_host_queries& operator=(const http_host_queries&) = delete;
    ~http_host_queries() override;

    void fetch_configuration(const network_address& host, std::int64_t known,
                             configuration_handler done) override;

private:
    control_loop& loop_;
    std::map<network_address, std::unique_ptr<http_channel>> channels_;
};

/// Revision that the asker has; 0 when the question names none.
std::int64_t known_configuration(const std::string& target);

/// Answer to a question for the configuration. A large one is left to the store, whose link is
/// wider than that of a host.
http_endpoint::reply answer_configuration_query(const configuration_answer& configuration);

}  // namespace fuchsiaquay

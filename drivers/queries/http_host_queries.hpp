#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/time/clock.hpp"
#include "drivers/net/http_endpoint.hpp"
#include "servers/fleet/host_queries.hpp"

namespace fuchsiaquay {

class control_loop;
class http_channel;
struct http_result;

/// Path of a host's configuration. The parameters `known` and `known_era` are number and era of the
/// revision that the requester has; `any_size=1` accepts a large response. The response is a line
/// `REVISION BASE ERA BASE_ERA`, followed by the whole configuration when BASE is 0, otherwise by
/// the delta to revision BASE. Hosts of earlier versions leave the eras out.
constexpr const char* configuration_query_path = "/configuration";

/// Path of a host's catalogue, with `known` and `known_era` as above. The response holds the
/// changes after that revision, encoded as a datagram of any length.
constexpr const char* catalogue_query_path = "/catalogue";

/// Queries other hosts over persistent HTTP connections.
class http_host_queries final : public host_queries {
public:
    explicit http_host_queries(control_loop& loop);
    http_host_queries(const http_host_queries&) = delete;
    http_host_queries& operator=(const http_host_queries&) = delete;
    ~http_host_queries() override;

    void fetch_configuration(const network_address& host, std::int64_t known, bool any_size,
                             configuration_handler done) override;
    void fetch_catalogue(const network_address& host, std::int64_t known,
                         catalogue_handler done) override;

private:
    using response_handler = std::function<void(const http_result& result)>;

    void send_query(const network_address& host, std::string target, duration timeout,
                    response_handler done);

    control_loop& loop_;
    std::map<network_address, std::unique_ptr<http_channel>> channels_;
};

/// Returns the revision that the requester has; 0 when the query does not state it.
std::int64_t known_revision(const std::string& target);
/// Returns whether the requester accepts a response of any size.
bool accepts_any_size(const std::string& target);

/// Formats the response to a configuration query. Unless the requester accepts any size, a large
/// configuration is refused; the requester then reads it from the store, whose link has more
/// bandwidth than that of a host.
http_endpoint::reply answer_configuration_query(const configuration_answer& configuration,
                                                bool any_size);
http_endpoint::reply answer_catalogue_query(const catalogue_delta& catalogue);

}  // namespace fuchsiaquay

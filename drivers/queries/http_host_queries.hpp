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

/// Path at which a host gives its configuration. The query `known` names the revision that the
/// asker has, `any_size` that a long answer is wanted; the answer is a line `REVISION BASE` and the
/// text, or the delta to BASE where that is not 0.
constexpr const char* configuration_query_path = "/configuration";

/// Path at which a host gives its catalogue: what changed after the revision `known`, as a datagram
/// of any length.
constexpr const char* catalogue_query_path = "/catalogue";

/// Questions to other hosts over kept connections.
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
    using answer_handler = std::function<void(const http_result& result)>;

    void ask(const network_address& host, std::string target, duration timeout,
             answer_handler done);

    control_loop& loop_;
    std::map<network_address, std::unique_ptr<http_channel>> channels_;
};

/// Revision that the asker has; 0 when the question names none.
std::int64_t known_revision(const std::string& target);
/// Whether the asker takes an answer of any size.
bool accepts_any_size(const std::string& target);

/// Answer to a question for the configuration. A large one is left to the store, whose link is
/// wider than that of a host, unless the asker takes any size.
http_endpoint::reply answer_configuration_query(const configuration_answer& configuration,
                                                bool any_size);
http_endpoint::reply answer_catalogue_query(const catalogue_delta& catalogue);

}  // namespace fuchsiaquay

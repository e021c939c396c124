#include "drivers/queries/http_host_queries.hpp"

#include <sstream>
#include <utility>
#include <variant>

#include "core/error/operation_error.hpp"
#include "core/fleet/view_reply.hpp"
#include "core/freshness/store_revision.hpp"
#include "drivers/control/control_loop.hpp"
#include "drivers/datagrams/datagram_codec.hpp"
#include "drivers/net/http_channel.hpp"

namespace fuchsiaquay {

namespace {

constexpr int status_ok = 200;
constexpr int status_too_large = 413;
constexpr duration query_timeout = std::chrono::milliseconds(600);
/// A catalogue of thousands of upstreams, or a large configuration, takes long on a slow link.
constexpr duration large_response_timeout = std::chrono::milliseconds(2'500);
/// Limit for a configuration or delta unless the requester accepts any size.
constexpr std::size_t max_configuration_bytes = 98'304;
/// Hosts to which connections are kept open.
constexpr std::size_t max_channels = 8;

std::string make_target(const char* path, std::int64_t known) {
    return std::string(path) + "?known=" + std::to_string(revision_number(known)) +
           "&known_era=" + std::to_string(era_of(known));
}

/// Returns 0 if the two are no revision.
std::int64_t read_revision(std::int64_t era, std::int64_t number) {
    return is_store_revision(era, number) ? make_store_revision(era, number) : 0;
}

std::int64_t integer_parameter(const std::string& target, const char* name) {
    std::istringstream text(query_value(target, name));
    std::int64_t value = 0;
    return text >> value ? value : 0;
}

configuration_answer parse_configuration(const http_result& result) {
    configuration_answer response;
    const auto line = result.body.find('\n');
    if (!result.failure.empty() || result.status != status_ok || line == std::string::npos) {
        return response;
    }
    std::istringstream head(result.body.substr(0, line));
    std::int64_t number = 0;
    std::int64_t base_number = 0;
    if (!(head >> number >> base_number)) {
        return {};
    }
    std::int64_t era = 0;
    std::int64_t base_era = 0;
    if (!(head >> era >> base_era)) {
        // A host of an earlier version sends no eras.
        era = 0;
        base_era = 0;
    }
    response.revision = read_revision(era, number);
    response.base = read_revision(base_era, base_number);
    response.body = result.body.substr(line + 1);
    return response;
}

catalogue_delta parse_catalogue(const http_result& result, instant now) {
    if (!result.failure.empty() || result.status != status_ok) {
        return {};
    }
    try {
        const peer_datagram message = decode_datagram(result.body, now);
        const auto* reply = std::get_if<view_reply>(&message);
        return reply == nullptr ? catalogue_delta() : reply->catalogue;
    } catch (const operation_error&) {
        // A response that cannot be decoded, such as one of another version, counts as missing.
        return {};
    }
}

}  // namespace

http_host_queries::http_host_queries(control_loop& loop) : loop_(loop) {}

http_host_queries::~http_host_queries() = default;

void http_host_queries::send_query(const network_address& host, std::string target,
                                   duration timeout, response_handler done) {
    auto& channel = channels_[host];
    if (!channel) {
        channel = std::make_unique<http_channel>(loop_, host);
    }
    http_call call;
    call.method = "GET";
    call.target = std::move(target);
    call.timeout = timeout;
    channel->send(std::move(call), [this, host, done = std::move(done)](const http_result& result) {
        if (channels_.size() > max_channels) {
            loop_.post([this, host] { channels_.erase(host); });
        }
        done(result);
    });
}

void http_host_queries::fetch_configuration(const network_address& host, std::int64_t known,
                                            bool any_size, configuration_handler done) {
    send_query(
        host, make_target(configuration_query_path, known) + (any_size ? "&any_size=1" : ""),
        any_size ? large_response_timeout : query_timeout,
        [done = std::move(done)](const http_result& result) { done(parse_configuration(result)); });
}

void http_host_queries::fetch_catalogue(const network_address& host, std::int64_t known,
                                        catalogue_handler done) {
    send_query(host, make_target(catalogue_query_path, known), large_response_timeout,
               [this, done = std::move(done)](const http_result& result) {
                   done(parse_catalogue(result, loop_.now()));
               });
}

std::int64_t known_revision(const std::string& target) {
    return read_revision(integer_parameter(target, "known_era"),
                         integer_parameter(target, "known"));
}

bool accepts_any_size(const std::string& target) {
    return query_value(target, "any_size") == "1";
}

http_endpoint::reply answer_configuration_query(const configuration_answer& configuration,
                                                bool any_size) {
    http_endpoint::reply reply;
    if (!any_size && configuration.body.size() > max_configuration_bytes) {
        reply.status = status_too_large;
        return reply;
    }
    reply.body = std::to_string(revision_number(configuration.revision)) + " " +
                 std::to_string(revision_number(configuration.base)) + " " +
                 std::to_string(era_of(configuration.revision)) + " " +
                 std::to_string(era_of(configuration.base)) + "\n" + configuration.body;
    return reply;
}

http_endpoint::reply answer_catalogue_query(const catalogue_delta& catalogue) {
    view_reply message;
    message.catalogue = catalogue;
    http_endpoint::reply reply;
    reply.content_type = "application/octet-stream";
    reply.body = encode_datagram(message, instant());
    return reply;
}

}  // namespace fuchsiaquay

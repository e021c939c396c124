#include "drivers/queries/http_host_queries.hpp"

#include <charconv>
#include <utility>

#include "drivers/control/control_loop.hpp"
#include "drivers/net/http_channel.hpp"

namespace fuchsiaquay {

namespace {

constexpr int status_ok = 200;
constexpr int status_too_large = 413;
constexpr duration query_timeout = std::chrono::milliseconds(600);
/// Largest configuration that a host hands on.
constexpr std::size_t max_configuration_bytes = 98'304;
/// Hosts to which a connection is kept.
constexpr std::size_t max_channels = 8;

stored_value parse_configuration(const http_result& result) {
    stored_value value;
    const auto line = result.body.find('\n');
    if (!result.failure.empty() || result.status != status_ok || line == std::string::npos) {
        return value;
    }
    const char* begin = result.body.data();
    if (std::from_chars(begin, begin + line, value.revision).ec != std::errc()) {
        value.revision = 0;
        return value;
    }
    value.value = result.body.substr(line + 1);
    return value;
}

}  // namespace

http_host_queries::http_host_queries(control_loop& loop) : loop_(loop) {}

http_host_queries::~http_host_queries() = default;

void http_host_queries::fetch_configuration(const network_address& host,
                                            configuration_handler done) {
    auto& channel = channels_[host];
    if (!channel) {
        channel = std::make_unique<http_channel>(loop_, host);
    }
    http_call call;
    call.method = "GET";
    call.target = configuration_query_path;
    call.timeout = query_timeout;
    channel->send(std::move(call), [this, host, done = std::move(done)](const http_result& result) {
        if (channels_.size() > max_channels) {
            loop_.post([this, host] { channels_.erase(host); });
        }
        done(parse_configuration(result));
    });
}

http_endpoint::reply answer_configuration_query(const stored_value& configuration) {
    http_endpoint::reply reply;
    if (configuration.value.size() > max_configuration_bytes) {
        reply.status = status_too_large;
        return reply;
    }
    reply.body = std::to_string(configuration.revision) + "\n" + configuration.value;
    return reply;
}

}  // namespace fuchsiaquay

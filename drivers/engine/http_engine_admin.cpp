#include "drivers/engine/http_engine_admin.hpp"

#include <cpprest/http_client.h>

#include <memory>
#include <utility>

#include "core/scheduling/engine_report.hpp"
#include "core/upstreams/upstream.hpp"
#include "drivers/control/control_loop.hpp"
#include "drivers/http/client_pool.hpp"

namespace fuchsiaquay {

namespace json = web::json;
namespace http = web::http;

namespace {

/// Timeout of the list of streams. After it the connection is dropped, so that the next request
/// uses a new one.
constexpr duration list_timeout = std::chrono::seconds(2);

stream_phase parse_phase(const std::string& text) {
    if (text == "prefill") {
        return stream_phase::prefill;
    }
    if (text == "decode") {
        return stream_phase::decode;
    }
    return text == "held" ? stream_phase::held : stream_phase::waiting;
}

engine_report parse_report(const json::value& answer) {
    engine_report report;
    report.memory_tokens = answer.at("memory_tokens").as_number().to_int64();
    for (const json::value& item : answer.at("streams").as_array()) {
        engine_stream stream;
        stream.grant = grant_id(item.at("stream_id").as_string());
        stream.memory_tokens = item.at("memory_tokens").as_number().to_int64();
        stream.generated_tokens = item.at("generated").as_number().to_int64();
        stream.phase = parse_phase(item.at("state").as_string());
        report.streams.push_back(std::move(stream));
    }
    return report;
}

/// Calls the handler once, for the response or the timeout, whichever comes first.
class list_call {
public:
    explicit list_call(engine_admin::report_handler done) : done_(std::move(done)) {}

    void end(const std::string& failure, const engine_report& report) {
        if (ended_) {
            return;
        }
        ended_ = true;
        done_(failure, report);
    }

    bool ended() const { return ended_; }

private:
    engine_admin::report_handler done_;
    bool ended_ = false;
};

}  // namespace

http_engine_admin::http_engine_admin(control_loop& loop, client_pool& clients)
    : loop_(loop), clients_(clients) {}

void http_engine_admin::list_streams(const upstream& engine, report_handler done) {
    auto state = std::make_shared<list_call>(std::move(done));
    const std::string address = engine.address;
    const std::uint16_t port = engine.port;
    loop_.after(list_timeout, [this, state, address, port] {
        if (!state->ended()) {
            clients_.drop(address, port);
            state->end("no answer", engine_report());
        }
    });
    control_loop& loop = loop_;
    auto client = clients_.get(address, port);
    client->request(http::methods::GET, "/v1/streams")
        .then([client](const http::http_response& response) { return response.extract_json(true); })
        .then([&loop, state](const pplx::task<json::value>& answer) {
            std::string failure;
            engine_report report;
            try {
                report = parse_report(answer.get());
            } catch (const std::exception& error) {
                failure = error.what();
            }
            loop.post([state, failure, report] { state->end(failure, report); });
        });
}

void http_engine_admin::cancel_stream(const upstream& engine, const grant_id& stream) {
    auto client = clients_.get(engine.address, engine.port);
    const std::string path = "/v1/streams/" + web::uri::encode_data_string(stream.value());
    client->request(http::methods::DEL, path)
        .then([client](const pplx::task<http::http_response>& answer) {
            try {
                answer.wait();
            } catch (const std::exception&) {
                // Ignored: the owner cancels the stream again if the next list still holds it.
            }
        });
}

}  // namespace fuchsiaquay

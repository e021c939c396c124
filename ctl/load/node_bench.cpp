#include "ctl/load/node_bench.hpp"

#include <cpprest/http_client.h>

#include <chrono>
#include <iomanip>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "core/time/clock.hpp"
#include "ctl/load/node_bench_options.hpp"
#include "ctl/load/stream_samples.hpp"
#include "drivers/http/body_reader.hpp"
#include "drivers/http/monotonic_now.hpp"

namespace fuchsiaquay {

namespace http = web::http;
namespace json = web::json;

namespace {

constexpr double p50 = 0.5;
constexpr double p95 = 0.95;

/// Measures one stream: counts its data events and records when they arrive.
class stream_probe : public std::enable_shared_from_this<stream_probe> {
public:
    explicit stream_probe(stream_samples& samples) : samples_(samples), begun_(monotonic_now()) {}

    pplx::task<void> run(const std::shared_ptr<http::client::http_client>& client,
                         const http::http_request& request) {
        auto self = shared_from_this();
        client->request(request).then([self, client](const pplx::task<http::http_response>& sent) {
            try {
                self->read(sent.get());
            } catch (const std::exception&) {
                self->finish("no answer");
            }
        });
        return pplx::task<void>(done_);
    }

private:
    void read(const http::http_response& response) {
        if (response.status_code() != http::status_codes::OK) {
            finish("status");
            return;
        }
        auto self = shared_from_this();
        body_reader::read(
            response.body(),
            [self](const std::string& chunk) {
                self->accept(chunk);
                return true;
            },
            [self](const std::string& failure) { self->finish(failure); });
    }

    void accept(const std::string& chunk) {
        const std::int64_t events = count(chunk, "\"choices\"");
        ended_ = ended_ || count(chunk, "[DONE]") > 0;
        if (events == 0) {
            return;
        }
        const instant now = monotonic_now();
        if (tokens_ == 0) {
            first_token_ = to_seconds(now - begun_);
        } else {
            gaps_.push_back(to_seconds(now - last_));
        }
        last_ = now;
        tokens_ += events;
    }

    static std::int64_t count(const std::string& text, const std::string& word) {
        std::int64_t found = 0;
        for (std::size_t position = text.find(word); position != std::string::npos;
             position = text.find(word, position + word.size())) {
            ++found;
        }
        return found;
    }

    void finish(const std::string& failure) {
        if (failure.empty() && ended_) {
            samples_.add(first_token_, gaps_, tokens_);
        } else {
            samples_.add_failure();
        }
        done_.set();
    }

    stream_samples& samples_;
    instant begun_;
    instant last_{};
    double first_token_ = 0.0;
    std::vector<double> gaps_;
    std::int64_t tokens_ = 0;
    bool ended_ = false;
    pplx::task_completion_event<void> done_;
};

http::http_request make_request(const node_bench_options& options, int number) {
    json::value body = json::value::object();
    body["model"] = json::value::string(options.model);
    std::string prompt = "load " + std::to_string(number) + " ";
    prompt.resize(static_cast<std::size_t>(options.prompt_bytes), 'x');
    body["prompt"] = json::value::string(prompt);
    body["max_tokens"] = json::value::number(options.max_tokens);
    body["stream"] = json::value::boolean(true);
    // A node assigns its own stream ids; an engine that is called directly uses this one.
    body["stream_id"] = json::value::string("bench-" + std::to_string(number));
    http::http_request request(http::methods::POST);
    request.set_request_uri("/v1/completions");
    request.headers().add("Authorization", "Bearer " + options.caller_key);
    request.set_body(body);
    return request;
}

void run_streams(const node_bench_options& options, const std::string& uri,
                 stream_samples& samples) {
    http::client::http_client_config config;
    config.set_timeout(std::chrono::minutes(2));
    auto client = std::make_shared<http::client::http_client>(uri, config);
    int number = 0;
    for (int round = 0; round < options.rounds; ++round) {
        std::vector<pplx::task<void>> running;
        running.reserve(static_cast<std::size_t>(options.streams));
        for (int i = 0; i < options.streams; ++i) {
            running.push_back(std::make_shared<stream_probe>(samples)->run(
                client, make_request(options, ++number)));
        }
        pplx::when_all(running.begin(), running.end()).wait();
    }
}

/// CPU seconds that a node has used, from its metrics.
double cpu_seconds(const std::string& uri) {
    http::client::http_client client(uri);
    const std::string text =
        client.request(http::methods::GET, "/metrics").get().extract_utf8string(true).get();
    const std::string name = "process_cpu_seconds_total ";
    const std::size_t at = text.find(name);
    return at == std::string::npos ? 0.0 : std::stod(text.substr(at + name.size()));
}

void print_row(std::ostream& out, const char* name, double via_node, double direct) {
    out << std::left << std::setw(28) << name << std::right << std::fixed << std::setprecision(1)
        << std::setw(12) << via_node * 1000.0 << std::setw(12) << direct * 1000.0
        << std::setprecision(2) << std::setw(9) << (direct > 0.0 ? via_node / direct : 0.0) << "\n";
}

}  // namespace

int run_node_bench(const node_bench_options& options, std::ostream& out) {
    stream_samples direct;
    run_streams(options, options.engine_uri, direct);
    const double cpu_before = cpu_seconds(options.node_uri);
    const instant begun = monotonic_now();
    stream_samples via_node;
    run_streams(options, options.node_uri, via_node);
    const double elapsed_s = to_seconds(monotonic_now() - begun);
    const double cpu = cpu_seconds(options.node_uri) - cpu_before;
    out << std::left << std::setw(28) << "ms" << std::right << std::setw(12) << "node"
        << std::setw(12) << "direct" << std::setw(9) << "ratio"
        << "\n";
    print_row(out, "first token p50", via_node.first_token_time(p50), direct.first_token_time(p50));
    print_row(out, "first token p95", via_node.first_token_time(p95), direct.first_token_time(p95));
    print_row(out, "between tokens p50", via_node.inter_token_time(p50),
              direct.inter_token_time(p50));
    print_row(out, "between tokens p95", via_node.inter_token_time(p95),
              direct.inter_token_time(p95));
    const auto tokens = static_cast<double>(via_node.tokens());
    const double requests = static_cast<double>(options.streams) * options.rounds;
    out << std::setprecision(0) << "tokens " << tokens << " in " << std::setprecision(2)
        << elapsed_s << " s, node used " << cpu << " core seconds: " << std::setprecision(0)
        << (cpu > 0.0 ? tokens / cpu : 0.0) << " tokens/s and "
        << (cpu > 0.0 ? requests / cpu : 0.0) << " requests/s of one core\n"
        << "failed streams: node " << via_node.failures() << ", direct " << direct.failures()
        << "\n";
    return via_node.failures() + direct.failures() == 0 ? 0 : 1;
}

}  // namespace fuchsiaquay

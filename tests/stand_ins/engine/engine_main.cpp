/// @file
/// Stand-in for a model engine: continuous batching in real time, answers that can be recomputed.

#include "tests/stand_ins/engine/engine_server.hpp"

using namespace fuchsiaquay::stand_ins;

int main(int argc, char** argv) {
    block_stop_signals();
    options settings({{"address", "127.0.0.1"},
                      {"port", "9200"},
                      {"prefill-tokens-per-second", "20000"},
                      {"decode-step-ms", "7"},
                      {"memory-tokens", "400000"},
                      {"cache-tokens", "200000"},
                      {"load-lag-ms", "200"},
                      {"cache-event-delay-ms", "500"},
                      {"cache-event-loss-percent", "10"},
                      {"checks-orders", "1"},
                      {"seed", "1"}});
    settings.parse(argc, argv);
    engine_server engine(settings);
    return serve(settings, [&](const web::http::http_request& request, const std::string& body) {
        engine.handle(request, body);
    });
}

/// @file
/// Stand-in for the platform: store, host list and weight store, with faults on command.

#include "tests/stand_ins/platform/platform.hpp"

using namespace fuchsiaquay::stand_ins;

int main(int argc, char** argv) {
    block_stop_signals();
    options settings({{"address", "127.0.0.1"},
                      {"port", "9100"},
                      {"writes-per-second", "400"},
                      {"reads-per-second", "2000"},
                      {"weights-per-second", "1"},
                      {"value-limit", "1048576"},
                      {"host-lag-ms", "500"}});
    settings.parse(argc, argv);
    platform state(settings);
    return serve(settings, [&](const web::http::http_request& request, const std::string& body) {
        state.handle(request, body);
    });
}

/// @file
/// Stand-in for a plain service: executes every call, records it, and answers after a delay.

#include <memory>

#include "core/hashing/hash.hpp"
#include "tests/stand_ins/service/execution_record.hpp"
#include "tests/stand_ins/support/delayed_tasks.hpp"
#include "tests/stand_ins/support/http_server.hpp"
#include "tests/stand_ins/support/text.hpp"

using namespace fuchsiaquay::stand_ins;
namespace json = web::json;

namespace {

constexpr int ok = 200;

json::value record_json(const execution_record& record) {
    json::value list = json::value::array();
    std::size_t index = 0;
    for (const execution& call : record.all()) {
        json::value entry;
        entry["key"] = json::value::string(call.key);
        entry["path"] = json::value::string(call.path);
        entry["hash"] = json::value::string(call.body_hash);
        entry["at_ms"] = json::value::number(call.at_ms);
        list[index++] = entry;
    }
    return list;
}

std::string header(const web::http::http_request& request, const std::string& name) {
    const auto found = request.headers().find(name);
    return found == request.headers().end() ? "" : found->second;
}

}  // namespace

int main(int argc, char** argv) {
    block_stop_signals();
    options settings(
        {{"address", "127.0.0.1"}, {"port", "9300"}, {"name", "orders"}, {"delay-ms", "5"}});
    settings.parse(argc, argv);
    execution_record record;
    delayed_tasks tasks;
    const std::chrono::milliseconds delay(settings.number("delay-ms"));
    const std::string name = settings.text("name");
    return serve(settings, [&](const web::http::http_request& request, const std::string& body) {
        const std::string path = request.relative_uri().path();
        if (path == "/_record") {
            reply_json(request, ok, record_json(record));
            return;
        }
        const execution call{header(request, "Idempotency-Key"), path,
                             hex16(fuchsiaquay::stable_hash(body)), wall_clock_ms()};
        json::value answer;
        answer["service"] = json::value::string(name);
        answer["key"] = json::value::string(call.key);
        answer["execution"] = json::value::number(record.add(call));
        answer["echo"] = json::value::string(call.body_hash);
        tasks.run_after(delay, [request, answer] { reply_json(request, ok, answer); });
    });
}

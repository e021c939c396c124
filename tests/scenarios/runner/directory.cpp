#include "tests/scenarios/runner/directory.hpp"

#include <cpprest/json.h>

#include <algorithm>

#include "tests/scenarios/runner/http_calls.hpp"
#include "tests/stand_ins/support/text.hpp"

namespace fuchsiaquay::scenarios {

namespace {
constexpr int ok = 200;
constexpr std::chrono::milliseconds ask_limit(1500);
}  // namespace

directory::directory(std::vector<entrypoint> initial, std::string caller_key)
    : initial_(std::move(initial)), caller_key_(std::move(caller_key)) {}

bool directory::ask(const entrypoint& node) {
    http_request_options options;
    options.port = node.port;
    options.path = "/v1/entrypoints";
    options.headers["Authorization"] = "Bearer " + caller_key_;
    options.limit = ask_limit;
    const http_reply reply = call_http(options);
    if (reply.status != ok) {
        return false;
    }
    try {
        const web::json::value body = web::json::value::parse(reply.body);
        std::vector<entrypoint> found;
        for (const web::json::value& each : body.at("entrypoints").as_array()) {
            found.push_back({each.at("host").as_string(),
                             static_cast<std::uint16_t>(each.at("port").as_integer())});
        }
        if (found.empty()) {
            return false;
        }
        current_ = found;
        valid_until_ms_ =
            stand_ins::wall_clock_ms() + body.at("keep_for_ms").as_number().to_int64();
        return true;
    } catch (const web::json::json_exception&) {
        return false;
    }
}

void directory::refresh(std::mt19937_64& random) {
    std::vector<entrypoint> candidates = initial_;
    std::shuffle(candidates.begin(), candidates.end(), random);
    const bool answered = std::any_of(candidates.begin(), candidates.end(),
                                      [this](const entrypoint& each) { return ask(each); });
    if (!answered && current_.empty()) {
        current_ = initial_;
    }
}

entrypoint directory::choose(const std::string& last, std::mt19937_64& random) {
    if (!valid(stand_ins::wall_clock_ms())) {
        refresh(random);
    }
    std::vector<entrypoint> others;
    std::copy_if(current_.begin(), current_.end(), std::back_inserter(others),
                 [&](const entrypoint& each) { return each.node != last; });
    const std::vector<entrypoint>& pool = others.empty() ? current_ : others;
    return pool[random() % pool.size()];
}

}  // namespace fuchsiaquay::scenarios

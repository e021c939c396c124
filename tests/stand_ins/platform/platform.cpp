#include "tests/stand_ins/platform/platform.hpp"

namespace fuchsiaquay::stand_ins {

namespace json = web::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr int ok = 200;
constexpr int not_found = 404;
constexpr int too_large = 413;
constexpr int too_many = 429;
constexpr int unavailable = 503;
constexpr int no_answer = 504;
constexpr milliseconds lease_check_interval(200);
constexpr std::int64_t default_lost_answer_wait_ms = 300;
/// Base64 and the enclosing object make a request body larger than its value.
constexpr std::int64_t body_to_value_ratio = 2;

bool starts_with(const std::string& text, const std::string& prefix) {
    return text.compare(0, prefix.size(), prefix) == 0;
}

void reply_too_many(const web::http::http_request& request) {
    web::http::http_response response(too_many);
    response.headers().add("Retry-After", "1");
    reply_quietly(request, response);
}

/// Size in bytes of the largest value in a put or in the puts of a transaction.
std::int64_t largest_value(const json::value& body) {
    std::int64_t largest = static_cast<std::int64_t>(bytes_field(body, "value").size());
    for (const char* branch : {"success", "failure"}) {
        if (!body.has_field(branch)) {
            continue;
        }
        for (const json::value& op : body.at(branch).as_array()) {
            for (const char* name : {"requestPut", "request_put"}) {
                if (op.has_field(name)) {
                    largest = std::max(largest, largest_value(op.at(name)));
                }
            }
        }
    }
    return largest;
}

}  // namespace

platform::platform(const options& settings)
    : value_limit_bytes_(settings.number("value-limit")),
      writes_(settings.number("writes-per-second")),
      reads_(settings.number("reads-per-second")),
      weights_(settings.number("weights-per-second")),
      hosts_(tasks_, milliseconds(settings.number("host-lag-ms"))) {
    expire_leases();
}

void platform::expire_leases() {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        store_.expire(steady_clock::now());
        watches_.deliver();
    }
    tasks_.run_after(lease_check_interval, [this] { expire_leases(); });
}

void platform::handle(const web::http::http_request& request, const std::string& body) {
    const std::string path = request.relative_uri().path();
    if (starts_with(path, "/control/")) {
        handle_control(request, path, body);
    } else if (starts_with(path, "/v3/")) {
        handle_store(request, path, body);
    } else if (path == "/platform/v1/hosts") {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            ++calls_["hosts"];
        }
        reply_json(request, ok, hosts_.published());
    } else if (starts_with(path, "/platform/v1/weights/")) {
        handle_weights(request);
    } else {
        reply_error(request, not_found, "unknown path");
    }
}

void platform::handle_store(const web::http::http_request& request, const std::string& path,
                            const std::string& body) {
    milliseconds delay(0);
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto now = steady_clock::now();
        ++calls_[path];
        if (now < outage_until_) {
            if (silent_outage_) {
                tasks_.run_after(std::chrono::duration_cast<milliseconds>(outage_until_ - now),
                                 [request] { reply_error(request, unavailable, "outage"); });
            } else {
                reply_error(request, unavailable, "outage");
            }
            return;
        }
        if (!(gateway::is_write(path) ? writes_ : reads_).admit(now)) {
            reply_too_many(request);
            return;
        }
        delay = delay_;
    }
    if (delay.count() == 0) {
        execute(request, path, body);
        return;
    }
    // The delay precedes the write, so that a write can take effect after its caller gave up.
    tasks_.run_after(delay, [this, request, path, body] {
        try {
            execute(request, path, body);
        } catch (const std::exception& error) {
            reply_error(request, web::http::status_codes::BadRequest, error.what());
        }
    });
}

void platform::execute(const web::http::http_request& request, const std::string& path,
                       const std::string& body) {
    if (static_cast<std::int64_t>(body.size()) > body_to_value_ratio * value_limit_bytes_) {
        reply_error(request, too_large, "request is too large");
        return;
    }
    const json::value parsed = parse_body(body);
    if (largest_value(parsed) > value_limit_bytes_) {
        reply_error(request, too_large, "value is too large");
        return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    if (path == "/v3/watch") {
        watches_.open(request, parsed);
        return;
    }
    const json::value answer = gateway_.execute(path, parsed);
    watches_.deliver();
    if (gateway::is_write(path) && answers_to_lose_ > 0) {
        --answers_to_lose_;
        ++calls_["lost_answers"];
        tasks_.run_after(lost_answer_wait_,
                         [request] { reply_error(request, no_answer, "no answer"); });
        return;
    }
    reply_json(request, ok, answer);
}

void platform::handle_weights(const web::http::http_request& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++calls_["weights"];
    if (weights_.admit(steady_clock::now())) {
        reply_json(request, ok, json::value::object());
    } else {
        reply_too_many(request);
    }
}

void platform::start_outage(milliseconds length, bool silent) {
    outage_until_ = steady_clock::now() + length;
    silent_outage_ = silent;
    watches_.close_all();
}

json::value platform::stats() const {
    json::value out = json::value::object();
    for (const auto& [kind, count] : calls_) {
        out[kind] = json::value::number(count);
    }
    out["watches_waiting"] = json::value::number(static_cast<std::int64_t>(watches_.count()));
    out["revision"] = json::value::number(store_.revision());
    return out;
}

void platform::handle_hosts_control(const web::http::http_request& request, const std::string& path,
                                    const std::string& body) {
    const std::string id = path.substr(std::string("/control/hosts/").size());
    if (request.method() == web::http::methods::DEL) {
        hosts_.erase(id);
    } else {
        hosts_.put(id, parse_body(body));
    }
    reply_json(request, ok, json::value::object());
}

void platform::handle_control(const web::http::http_request& request, const std::string& path,
                              const std::string& body) {
    if (starts_with(path, "/control/hosts/")) {
        handle_hosts_control(request, path, body);
        return;
    }
    const json::value terms = parse_body(body);
    json::value answer = json::value::object();
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (path == "/control/outage") {
            const bool silent = terms.has_field("silent") && terms.at("silent").as_bool();
            start_outage(std::chrono::seconds(number_field(terms, "seconds")), silent);
        } else if (path == "/control/slow") {
            delay_ = milliseconds(number_field(terms, "delay_ms"));
        } else if (path == "/control/lose_answers") {
            answers_to_lose_ = number_field(terms, "count");
            lost_answer_wait_ =
                milliseconds(number_field(terms, "wait_ms", default_lost_answer_wait_ms));
        } else if (path == "/control/lapse_leases") {
            store_.lapse_all();
            watches_.deliver();
        } else if (path == "/control/stats") {
            answer = stats();
        } else {
            reply_error(request, not_found, "unknown control");
            return;
        }
    }
    reply_json(request, ok, answer);
}

}  // namespace fuchsiaquay::stand_ins

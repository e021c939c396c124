#include "tests/stand_ins/engine/engine_server.hpp"

#include <algorithm>

#include "core/hashing/hash.hpp"
#include "tests/stand_ins/support/text.hpp"

namespace fuchsiaquay::stand_ins {

namespace json = web::json;

namespace {

constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int conflict = 409;
constexpr int unavailable = 503;
constexpr std::size_t block_bytes = 4096;
constexpr std::int64_t default_max_tokens = 16;
constexpr double percent = 100.0;
const std::string streams_path = "/v1/streams/";

instant now() {
    return instant(
        std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

engine_settings read_settings(const options& settings) {
    engine_settings out;
    out.memory_tokens = settings.number("memory-tokens");
    out.step_base = std::chrono::milliseconds(settings.number("decode-step-ms"));
    out.token_cost = std::chrono::duration_cast<duration>(std::chrono::seconds(1)) /
                     settings.number("prefill-tokens-per-second");
    out.cache_tokens = settings.number("cache-tokens");
    out.load_lag = std::chrono::milliseconds(settings.number("load-lag-ms"));
    out.cache_event_delay = std::chrono::milliseconds(settings.number("cache-event-delay-ms"));
    out.cache_event_loss =
        static_cast<double>(settings.number("cache-event-loss-percent")) / percent;
    return out;
}

std::string state_name(stream_status::state state) {
    switch (state) {
        case stream_status::state::waiting:
            return "waiting";
        case stream_status::state::prefill:
            return "prefill";
        case stream_status::state::decode:
            return "decode";
        case stream_status::state::held:
            return "held";
    }
    return "";
}

std::vector<std::uint64_t> prefix_hashes(const std::string& prompt) {
    std::vector<std::uint64_t> hashes;
    std::uint64_t previous = 0;
    for (std::size_t end = block_bytes; end <= prompt.size(); end += block_bytes) {
        previous =
            stable_hash(std::string_view(prompt).substr(end - block_bytes, block_bytes), previous);
        hashes.push_back(previous);
    }
    return hashes;
}

void append(json::value& list, const json::value& entry) {
    list[list.size()] = entry;
}

}  // namespace

engine_server::engine_server(const options& settings)
    : model_(read_settings(settings), static_cast<std::uint64_t>(settings.number("seed"))),
      checks_orders_(settings.number("checks-orders") != 0),
      thread_([this] { run(); }) {}

engine_server::~engine_server() {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void engine_server::run() {
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_) {
        const instant next = model_.next_event();
        if (next == instant::max()) {
            changed_.wait(lock);
        } else {
            changed_.wait_for(lock, next - now());
        }
        advance();
    }
}

void engine_server::advance() {
    for (const engine_event& event : model_.advance(now())) {
        deliver(event);
    }
}

void engine_server::deliver(const engine_event& event) {
    const auto found = outputs_.find(event.stream_id);
    if (found == outputs_.end()) {
        return;
    }
    if (event.type == engine_event::kind::token) {
        found->second.write_token(event.offset);
    } else if (event.type == engine_event::kind::finished) {
        found->second.finish(event.cached_tokens);
        outputs_.erase(found);
    }
}

void engine_server::handle(const web::http::http_request& request, const std::string& body) {
    const std::string path = request.relative_uri().path();
    const json::value parsed = parse_body(body);
    const std::lock_guard<std::mutex> lock(mutex_);
    advance();
    if (path == "/v1/streams") {
        reply_json(request, ok, streams());
    } else if (path.compare(0, streams_path.size(), streams_path) == 0 &&
               request.method() == web::http::methods::DEL) {
        cancel(path.substr(streams_path.size()));
        reply_json(request, ok, json::value::object());
    } else if (path == "/v1/load") {
        reply_json(request, ok, load());
    } else if (path == "/v1/cache_events") {
        const auto query = web::uri::split_query(request.relative_uri().query());
        const auto after = query.find("after");
        reply_json(request, ok,
                   cache_events(after == query.end() ? 0 : std::stoull(after->second)));
    } else if (path == "/_record") {
        json::value record;
        record["streams"] = submitted_;
        record["orders"] = orders_;
        reply_json(request, ok, record);
    } else {
        handle_post(request, path, parsed);
    }
    changed_.notify_all();
}

void engine_server::handle_post(const web::http::http_request& request, const std::string& path,
                                const json::value& body) {
    if (path == "/v1/completions") {
        complete(request, body);
    } else if (path == "/v1/prefill") {
        prefill(request, body);
    } else if (path == "/v1/kv/export") {
        export_kv(request, body);
    } else if (path == "/v1/kv/import") {
        import_kv(request, body);
    } else if (path == "/v1/orders") {
        order(request, body);
    } else {
        reply_error(request, not_found, "unknown path");
    }
}

stream_request engine_server::read_request(const json::value& body) const {
    const std::string prompt = text_field(body, "prompt");
    stream_request out;
    out.stream_id = text_field(body, "stream_id");
    out.prompt_tokens = token_count(prompt);
    out.max_tokens = number_field(body, "max_tokens", default_max_tokens);
    out.priority = static_cast<int>(number_field(body, "priority"));
    out.resume_from = number_field(body, "resume_from");
    out.prefix_hashes = prefix_hashes(prompt);
    if (body.has_field("kv_parts")) {
        for (const json::value& part : body.at("kv_parts").as_array()) {
            out.remote_tokens += number_field(part, "tokens");
        }
    }
    out.remote_tokens = std::min(out.remote_tokens, out.prompt_tokens);
    return out;
}

bool engine_server::is_held(const std::string& stream_id) const {
    const auto all = model_.streams();
    return std::any_of(all.begin(), all.end(), [&](const stream_status& each) {
        return each.stream_id == stream_id && each.phase == stream_status::state::held;
    });
}

bool engine_server::refuse(const web::http::http_request& request, submit_result result) {
    if (result == submit_result::out_of_memory) {
        reply_error(request, unavailable, "out_of_memory");
    } else if (result == submit_result::duplicate) {
        reply_error(request, conflict, "stream_exists");
    }
    return result != submit_result::accepted;
}

void engine_server::complete(const web::http::http_request& request, const json::value& body) {
    stream_request terms = read_request(body);
    if (terms.stream_id.empty()) {
        terms.stream_id = "unnamed-" + std::to_string(++unnamed_streams_);
    }
    if (terms.max_tokens < 1 || terms.resume_from < 0 || terms.resume_from >= terms.max_tokens) {
        reply_error(request, bad_request, "bad max_tokens or resume_from");
        return;
    }
    const std::string prompt = text_field(body, "prompt");
    const std::string hash = hex16(stable_hash(prompt));
    if (is_held(terms.stream_id)) {
        // The KV cache is already on this engine: the stream continues from its prefill.
        model_.cancel(terms.stream_id, now());
    }
    if (refuse(request, model_.submit(terms, now()))) {
        return;
    }
    const auto former = outputs_.find(terms.stream_id);
    if (former != outputs_.end()) {
        former->second.abort();
        outputs_.erase(former);
    }
    json::value entry;
    entry["stream_id"] = json::value::string(terms.stream_id);
    entry["prompt_hash"] = json::value::string(hash);
    entry["resume_from"] = json::value::number(terms.resume_from);
    entry["priority"] = json::value::number(terms.priority);
    entry["at_ms"] = json::value::number(wall_clock_ms());
    append(submitted_, entry);
    const bool streamed = body.has_field("stream") && body.at("stream").as_bool();
    const auto added =
        outputs_.emplace(terms.stream_id, engine_output(request, terms.stream_id, prompt, streamed,
                                                        terms.max_tokens, terms.resume_from));
    added.first->second.start();
}

void engine_server::prefill(const web::http::http_request& request, const json::value& body) {
    stream_request terms = read_request(body);
    terms.hold = true;
    if (refuse(request, model_.submit(terms, now()))) {
        return;
    }
    prompt_hashes_[terms.stream_id] = hex16(stable_hash(text_field(body, "prompt")));
    reply_json(request, ok, json::value::object());
}

void engine_server::export_kv(const web::http::http_request& request, const json::value& body) {
    const std::string stream_id = text_field(body, "stream_id");
    const auto part = model_.export_kv(stream_id);
    if (!part) {
        reply_error(request, not_found, "no complete prefill");
        return;
    }
    json::value out;
    out["kv"]["stream_id"] = json::value::string(stream_id);
    out["kv"]["tokens"] = json::value::number(part->tokens);
    out["kv"]["prompt_hash"] = json::value::string(prompt_hashes_[stream_id]);
    reply_json(request, ok, out);
}

void engine_server::import_kv(const web::http::http_request& request, const json::value& body) {
    const json::value& kv = body.at("kv");
    const kv_part part{text_field(kv, "stream_id"), number_field(kv, "tokens")};
    const std::string stream_id = text_field(body, "stream_id");
    if (refuse(request, model_.import_kv(stream_id, part, now()))) {
        return;
    }
    prompt_hashes_[stream_id] = text_field(kv, "prompt_hash");
    reply_json(request, ok, json::value::object());
}

void engine_server::order(const web::http::http_request& request, const json::value& body) {
    const std::string model = text_field(body, "model");
    const std::int64_t fencing = number_field(body, "fencing");
    if (checks_orders_ && fencing < fencing_[model]) {
        reply_error(request, conflict, "older fencing number");
        return;
    }
    fencing_[model] = fencing;
    json::value entry = body;
    entry["at_ms"] = json::value::number(wall_clock_ms());
    append(orders_, entry);
    reply_json(request, ok, json::value::object());
}

void engine_server::cancel(const std::string& stream_id) {
    model_.cancel(stream_id, now());
    prompt_hashes_.erase(stream_id);
    const auto found = outputs_.find(stream_id);
    if (found != outputs_.end()) {
        found->second.abort();
        outputs_.erase(found);
    }
}

json::value engine_server::streams() const {
    json::value list = json::value::array();
    for (const stream_status& each : model_.streams()) {
        json::value entry;
        entry["stream_id"] = json::value::string(each.stream_id);
        entry["memory_tokens"] = json::value::number(each.memory_tokens);
        entry["generated"] = json::value::number(each.generated);
        entry["priority"] = json::value::number(each.priority);
        entry["state"] = json::value::string(state_name(each.phase));
        append(list, entry);
    }
    json::value out;
    out["streams"] = list;
    out["memory_tokens"] = json::value::number(model_.settings().memory_tokens);
    out["free_memory_tokens"] = json::value::number(model_.free_memory_tokens());
    return out;
}

json::value engine_server::load() const {
    const engine_load seen = model_.load(now());
    json::value out;
    out["memory_tokens"] = json::value::number(seen.memory_tokens);
    out["free_memory_tokens"] = json::value::number(seen.free_memory_tokens);
    out["queued_prefill_tokens"] = json::value::number(seen.queued_prefill_tokens);
    out["running"] = json::value::number(seen.running);
    out["waiting"] = json::value::number(seen.waiting);
    out["age_ms"] = json::value::number(
        std::chrono::duration_cast<std::chrono::milliseconds>(seen.age).count());
    return out;
}

json::value engine_server::cache_events(std::uint64_t after) const {
    json::value list = json::value::array();
    for (const cache_event& event : model_.cache_events(after, now())) {
        json::value entry;
        entry["id"] = json::value::number(event.id);
        entry["kind"] =
            json::value::string(event.type == cache_event::kind::stored ? "stored" : "evicted");
        entry["prefix_hash"] = json::value::string(hex16(event.prefix_hash));
        entry["tokens"] = json::value::number(event.tokens);
        append(list, entry);
    }
    json::value out;
    out["events"] = list;
    return out;
}

}  // namespace fuchsiaquay::stand_ins

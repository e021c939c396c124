#include "tests/scenarios/runner/caller.hpp"

#include <cpprest/json.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <thread>

#include "core/hashing/hash.hpp"
#include "tests/scenarios/runner/http_calls.hpp"
#include "tests/scenarios/runner/stream_reader.hpp"
#include "tests/scenarios/runner/uuid.hpp"
#include "tests/stand_ins/support/text.hpp"

namespace fuchsiaquay::scenarios {

namespace json = web::json;

namespace {

constexpr int ok = 200;
/// A caller keeps retrying for this many deadlines in total.
constexpr std::int64_t retry_deadlines = 3;
constexpr std::int64_t min_retry_ms = 100;
constexpr std::int64_t max_retry_ms = 3000;
constexpr std::int64_t milliseconds_per_second = 1000;

std::int64_t between(std::mt19937_64& random, std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, std::max(low, high))(random);
}

std::string make_prompt(std::mt19937_64& random, std::int64_t bytes) {
    std::string prompt;
    while (static_cast<std::int64_t>(prompt.size()) < bytes) {
        prompt += stand_ins::hex16(random()) + " ";
    }
    prompt.resize(static_cast<std::size_t>(bytes));
    return prompt;
}

/// Classifies a reply that is not a complete answer.
void judge_failure(const http_reply& reply, attempt& tried) {
    tried.status = reply.status;
    if (reply.timed_out) {
        tried.end = attempt_end::timed_out;
        return;
    }
    if (reply.unreachable) {
        tried.end = attempt_end::unreachable;
        return;
    }
    tried.end = attempt_end::cut;
    if (!reply.error.empty() || reply.status == 0) {
        return;
    }
    tried.end = attempt_end::failed;
    try {
        const json::value error = json::value::parse(reply.body).at("error");
        tried.error_code = error.at("code").as_string();
        if (error.at("executed").as_string() == "no") {
            tried.end = attempt_end::not_run;
        }
    } catch (const json::json_exception&) {
        tried.error_code = "reply without a typed error";
    }
}

std::int64_t retry_after_ms(const http_reply& reply) {
    const auto found = reply.headers.find("Retry-After");
    if (found == reply.headers.end()) {
        return min_retry_ms;
    }
    return std::clamp<std::int64_t>(std::atoll(found->second.c_str()) * milliseconds_per_second,
                                    min_retry_ms, max_retry_ms);
}

}  // namespace

caller::caller(const load_profile& profile, std::vector<entrypoint> nodes, std::uint64_t seed,
               const std::atomic<load_phase>& phase)
    : profile_(profile),
      directory_(std::move(nodes), profile.caller_key),
      random_(seed),
      phase_(phase) {}

std::int64_t caller::pause_ms() {
    return profile_.pause_ms == 0 ? 0 : between(random_, 0, 2 * profile_.pause_ms);
}

call_record caller::new_call(std::int64_t id) {
    call_record call;
    call.id = id;
    call.deadline_ms = profile_.deadline_ms;
    call.body = make_prompt(random_,
                            between(random_, profile_.prompt_bytes_min, profile_.prompt_bytes_max));
    if (profile_.kind == "service") {
        call.type = call_record::kind::service;
        call.key = make_uuid_v7(stand_ins::wall_clock_ms(), random_());
        call.repeatable = profile_.repeatable;
    } else {
        call.max_tokens = between(random_, profile_.max_tokens_min, profile_.max_tokens_max);
    }
    return call;
}

call_record caller::make_call(std::int64_t id) {
    call_record call = new_call(id);
    last_event_id_.clear();
    retry_until_ms_ = stand_ins::wall_clock_ms() + retry_deadlines * profile_.deadline_ms;
    std::string last_node;
    do {
        const entrypoint node = directory_.choose(last_node, random_);
        if (profile_.send_duplicates) {
            try_duplicates(call, node);
        } else {
            call.attempts.push_back(try_once(call, node));
        }
        last_node = node.node;
    } while (wait_for_retry(call, call.attempts.back()));
    if (profile_.repeat_answered && call.attempts.back().end == attempt_end::answered) {
        const attempt again = try_once(call, directory_.choose(last_node, random_));
        call.attempts.insert(std::prev(call.attempts.end()), again);
    }
    call.ended = true;
    return call;
}

attempt caller::start_attempt(const entrypoint& node) const {
    attempt tried;
    tried.node = node.node;
    tried.start_ms = stand_ins::wall_clock_ms();
    tried.directory_valid = directory_.valid(tried.start_ms);
    return tried;
}

attempt caller::try_once(call_record& call, const entrypoint& node) {
    attempt tried = start_attempt(node);
    if (call.type == call_record::kind::service) {
        retry_after_ms_ = retry_after_ms(call_service(call, node, tried, call.answer));
    } else if (profile_.kind == "stream") {
        try_stream(call, node, tried);
    } else {
        try_completion(call, node, tried);
    }
    tried.end_ms = stand_ins::wall_clock_ms();
    return tried;
}

bool caller::wait_for_retry(const call_record& call, const attempt& tried) {
    const std::int64_t now_ms = stand_ins::wall_clock_ms();
    if (tried.end == attempt_end::answered || now_ms > retry_until_ms_) {
        return false;
    }
    if (tried.end == attempt_end::failed && call.type == call_record::kind::service) {
        return false;
    }
    const load_phase phase = phase_;
    if (phase == load_phase::abandoned ||
        (phase == load_phase::stopping && tried.end == attempt_end::not_run)) {
        return false;
    }
    if (tried.end != attempt_end::not_run) {
        directory_.forget();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(retry_after_ms_));
    return true;
}

http_reply caller::call_service(const call_record& call, const entrypoint& node, attempt& tried,
                                std::string& answer) const {
    http_request_options options;
    options.method = "POST";
    options.port = node.port;
    options.path = "/v1/services/" + profile_.service + "/orders";
    options.headers["Authorization"] = "Bearer " + profile_.caller_key;
    options.headers["Idempotency-Key"] = call.key;
    options.body = call.body;
    options.limit = std::chrono::milliseconds(call.deadline_ms + profile_.extra_wait_ms);
    http_reply reply = call_http(options);
    if (reply.status != ok || !reply.error.empty()) {
        judge_failure(reply, tried);
    } else {
        tried.status = reply.status;
        tried.ends_seen = 1;
        const json::value body = json::value::parse(reply.body);
        const bool own = body.at("echo").as_string() == stand_ins::hex16(stable_hash(call.body));
        answer = own ? body.at("key").as_string() : "another body";
    }
    tried.end_ms = stand_ins::wall_clock_ms();
    return reply;
}

void caller::try_duplicates(call_record& call, const entrypoint& node) {
    const entrypoint other = directory_.choose(node.node, random_);
    attempt first = start_attempt(node);
    attempt second = start_attempt(other);
    std::string second_answer;
    std::thread duplicate([&] { call_service(call, other, second, second_answer); });
    std::string first_answer;
    retry_after_ms_ = retry_after_ms(call_service(call, node, first, first_answer));
    duplicate.join();
    const bool second_wins = second.end == attempt_end::answered;
    call.answer = second_wins ? second_answer : first_answer;
    call.attempts.push_back(second_wins ? first : second);
    call.attempts.push_back(second_wins ? second : first);
}

http_request_options caller::completion_options(const call_record& call, const entrypoint& node,
                                                bool streamed) const {
    json::value body;
    body["model"] = json::value::string(profile_.model);
    body["prompt"] = json::value::string(call.body);
    body["max_tokens"] = json::value::number(call.max_tokens);
    body["stream"] = json::value::boolean(streamed);
    http_request_options options;
    options.method = "POST";
    options.port = node.port;
    options.path = "/v1/completions";
    options.headers["Authorization"] = "Bearer " + profile_.caller_key;
    options.headers["X-Rank"] = profile_.rank;
    options.body = body.serialize();
    options.limit = std::chrono::milliseconds(call.deadline_ms + profile_.extra_wait_ms);
    return options;
}

void caller::try_completion(call_record& call, const entrypoint& node, attempt& tried) {
    const http_reply reply = call_http(completion_options(call, node, false));
    retry_after_ms_ = retry_after_ms(reply);
    if (reply.status != ok || !reply.error.empty()) {
        judge_failure(reply, tried);
        return;
    }
    tried.status = reply.status;
    tried.ends_seen = 1;
    call.answer = json::value::parse(reply.body).at("choices").at(0).at("text").as_string();
}

void caller::try_stream(call_record& call, const entrypoint& node, attempt& tried) {
    http_request_options options = completion_options(call, node, true);
    if (last_event_id_.empty()) {
        call.answer.clear();
    } else {
        options.headers["Last-Event-ID"] = last_event_id_;
    }
    stream_reader reader(call.answer, last_event_id_);
    const http_reply reply =
        stream_http(options, [&](const std::string& line) { reader.read(line); });
    retry_after_ms_ = retry_after_ms(reply);
    tried.status = reply.status;
    tried.ends_seen = reader.ends();
    if (reader.ends() > 0) {
        return;
    }
    judge_failure(reply, tried);
    if (reply.status == ok && !reply.timed_out) {
        tried.end = reader.error().empty() ? attempt_end::cut : attempt_end::failed;
        tried.error_code = reader.error();
    }
}

}  // namespace fuchsiaquay::scenarios

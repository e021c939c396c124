#include "drivers/api/completion_body.hpp"

#include <cpprest/json.h>

#include <utility>

#include "drivers/api/api_limits.hpp"
#include "drivers/api/bad_request.hpp"
#include "drivers/json/json_parser.hpp"
#include "drivers/json/json_text.hpp"

namespace fuchsiaquay {

namespace json = web::json;

namespace {

constexpr int status_bad_request = 400;
constexpr std::size_t bytes_per_token = 4;

[[noreturn]] void reject(const std::string& field, const std::string& allowed) {
    throw bad_request(status_bad_request, "invalid_request", field + ": allowed: " + allowed);
}

std::string join_messages(const json::value& body) {
    if (!body.has_array_field("messages") || body.at("messages").size() == 0) {
        reject("messages", "an array of objects with role and content");
    }
    std::string prompt;
    for (const json::value& message : body.at("messages").as_array()) {
        if (!message.is_object() || !message.has_string_field("role") ||
            !message.has_string_field("content")) {
            reject("messages", "objects with the texts role and content");
        }
        prompt += message.at("role").as_string();
        prompt += ": ";
        prompt += message.at("content").as_string();
        prompt += '\n';
    }
    return prompt;
}

std::int64_t read_max_tokens(const json::value& body, const api_limits& limits) {
    if (!body.has_field("max_tokens")) {
        return limits.default_max_tokens;
    }
    const json::value& field = body.at("max_tokens");
    const std::string allowed = "a whole number from 1 to " + std::to_string(limits.max_tokens);
    if (!field.is_integer() || !field.as_number().is_int64()) {
        reject("max_tokens", allowed);
    }
    const std::int64_t value = field.as_number().to_int64();
    if (value < 1 || value > limits.max_tokens) {
        reject("max_tokens", allowed);
    }
    return value;
}

json::value parse_object(const std::string& text) {
    json::value body;
    try {
        body = parse_json(text);
    } catch (const json_error&) {
        throw bad_request(status_bad_request, "malformed_json", "the body is not JSON");
    }
    if (!body.is_object()) {
        reject("body", "a JSON object");
    }
    return body;
}

}  // namespace

completion_body parse_completion(const std::string& text, bool chat, const api_limits& limits) {
    const json::value body = parse_object(text);
    completion_body result;
    result.chat = chat;
    if (!body.has_string_field("model")) {
        reject("model", "a text");
    }
    result.model = body.at("model").as_string();
    if (!chat && !body.has_string_field("prompt")) {
        reject("prompt", "a text");
    }
    std::string prompt = chat ? join_messages(body) : body.at("prompt").as_string();
    if (prompt.empty()) {
        reject("prompt", "a text that is not empty");
    }
    result.prompt = std::make_shared<const std::string>(std::move(prompt));
    result.max_tokens = read_max_tokens(body, limits);
    if (body.has_field("stream")) {
        if (!body.at("stream").is_boolean()) {
            reject("stream", "true or false");
        }
        result.stream = body.at("stream").as_bool();
    }
    return result;
}

std::int64_t estimate_prompt_tokens(const std::string& prompt) {
    return static_cast<std::int64_t>((prompt.size() + bytes_per_token - 1) / bytes_per_token);
}

}  // namespace fuchsiaquay

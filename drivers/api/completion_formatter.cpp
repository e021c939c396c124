#include "drivers/api/completion_formatter.hpp"

#include <cpprest/json.h>

#include <utility>

#include "core/request/refusal.hpp"
#include "drivers/api/event_id.hpp"

namespace fuchsiaquay {

namespace json = web::json;

namespace {

std::string quoted(const std::string& text) {
    return json::value::string(text).serialize();
}

json::value error_json(const refusal& reason) {
    json::value error = json::value::object();
    error["code"] = json::value::string(reason.code);
    error["message"] = json::value::string(reason.message);
    error["executed"] = json::value::string(to_string(reason.ran));
    if (reason.retry_after > duration::zero()) {
        error["retry_after_ms"] = json::value::number(to_milliseconds(reason.retry_after));
    }
    json::value body = json::value::object();
    body["error"] = error;
    return body;
}

}  // namespace

completion_formatter::completion_formatter(std::string completion_id, std::string model, bool chat,
                                           std::string cluster_key, std::string request_digest)
    : completion_id_(std::move(completion_id)),
      model_(std::move(model)),
      chat_(chat),
      cluster_key_(std::move(cluster_key)),
      request_digest_(std::move(request_digest)) {
    event_prefix_ = "\ndata: {\"id\":" + quoted(completion_id_) + ",\"object\":\"" +
                    (chat_ ? "chat.completion.chunk" : "text_completion") +
                    "\",\"model\":" + quoted(model_) + ",\"choices\":[{\"index\":0,";
}

std::string completion_formatter::stream_chunk(const std::vector<token_event>& events) const {
    std::string text;
    for (const token_event& event : events) {
        text += "id: ";
        text += make_event_id(cluster_key_, request_digest_, event.offset);
        text += event_prefix_;
        text += chat_ ? "\"delta\":{\"content\":" : "\"text\":";
        text += quoted(event.text);
        text += chat_ ? "}," : ",";
        text += "\"finish_reason\":";
        text += event.finish_reason.empty() ? "null" : quoted(event.finish_reason);
        text += "}]}\n\n";
    }
    return text;
}

std::string completion_formatter::stream_end() const {
    return "data: [DONE]\n\n";
}

std::string completion_formatter::stream_error(const refusal& reason) const {
    return "event: error\ndata: " + error_json(reason).serialize() + "\n\n";
}

std::string completion_formatter::full_response(const std::string& text,
                                                const std::string& finish_reason,
                                                std::int64_t prompt_tokens,
                                                std::int64_t completion_tokens) const {
    json::value choice = json::value::object();
    choice["index"] = json::value::number(0);
    choice["finish_reason"] = json::value::string(finish_reason);
    if (chat_) {
        json::value message = json::value::object();
        message["role"] = json::value::string("assistant");
        message["content"] = json::value::string(text);
        choice["message"] = message;
    } else {
        choice["text"] = json::value::string(text);
    }
    json::value usage = json::value::object();
    usage["prompt_tokens"] = json::value::number(prompt_tokens);
    usage["completion_tokens"] = json::value::number(completion_tokens);
    usage["total_tokens"] = json::value::number(prompt_tokens + completion_tokens);
    json::value body = json::value::object();
    body["id"] = json::value::string(completion_id_);
    body["object"] = json::value::string(chat_ ? "chat.completion" : "text_completion");
    body["model"] = json::value::string(model_);
    body["choices"] = json::value::array({choice});
    body["usage"] = usage;
    return body.serialize();
}

std::string error_body(const refusal& reason) {
    return error_json(reason).serialize();
}

}  // namespace fuchsiaquay

#include "tests/stand_ins/engine/engine_output.hpp"

#include "tests/stand_ins/support/http_server.hpp"
#include "tests/stand_ins/support/stream_writer.hpp"
#include "tests/stand_ins/support/text.hpp"

namespace fuchsiaquay::stand_ins {

namespace json = web::json;

namespace {
constexpr int ok = 200;
constexpr int cancelled = 410;

json::value choice(const std::string& text, bool last) {
    json::value out;
    out["index"] = json::value::number(0);
    out["text"] = json::value::string(text);
    out["finish_reason"] = last ? json::value::string("length") : json::value::null();
    return out;
}

std::string event_line(const json::value& event) {
    return "data: " + event.serialize() + "\n\n";
}

}  // namespace

engine_output::engine_output(const web::http::http_request& request, std::string stream_id,
                             std::string prompt, bool streamed, std::int64_t max_tokens,
                             std::int64_t resume_from)
    : request_(request),
      stream_id_(std::move(stream_id)),
      prompt_(std::move(prompt)),
      streamed_(streamed),
      max_tokens_(max_tokens),
      resume_from_(resume_from) {}

void engine_output::start() {
    if (!streamed_) {
        return;
    }
    web::http::http_response response(ok);
    response.set_body(buffer_.create_istream(), "text/event-stream");
    auto buffer = buffer_;
    request_.reply(response).then([buffer](const pplx::task<void>& sent) mutable {
        try {
            sent.get();
        } catch (const std::exception&) {
            // The reader has disconnected; the stream continues until it is cancelled or complete.
        }
        buffer.close();
    });
}

void engine_output::write_token(std::int64_t offset) {
    const std::string token = answer_token(prompt_, static_cast<std::uint64_t>(offset));
    if (!streamed_) {
        text_ += token;
        return;
    }
    json::value event;
    event["id"] = json::value::string(stream_id_);
    event["offset"] = json::value::number(offset);
    event["choices"][0] = choice(token, offset + 1 == max_tokens_);
    write_text(buffer_, event_line(event));
}

json::value engine_output::usage(std::int64_t cached_tokens) const {
    json::value out;
    out["prompt_tokens"] = json::value::number(token_count(prompt_));
    out["completion_tokens"] = json::value::number(max_tokens_ - resume_from_);
    out["cached_tokens"] = json::value::number(cached_tokens);
    return out;
}

void engine_output::finish(std::int64_t cached_tokens) {
    json::value last;
    last["id"] = json::value::string(stream_id_);
    last["usage"] = usage(cached_tokens);
    if (streamed_) {
        write_text(buffer_, event_line(last) + "data: [DONE]\n\n");
        buffer_.close(std::ios_base::out);
        return;
    }
    last["choices"][0] = choice(text_, true);
    reply_json(request_, ok, last);
}

void engine_output::abort() {
    if (streamed_) {
        buffer_.close(std::ios_base::out);
        return;
    }
    reply_error(request_, cancelled, "cancelled");
}

}  // namespace fuchsiaquay::stand_ins

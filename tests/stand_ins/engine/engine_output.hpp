#pragma once

#include <cpprest/http_msg.h>
#include <cpprest/producerconsumerstream.h>

#include <cstdint>
#include <string>

namespace fuchsiaquay::stand_ins {

/// Output for the tokens of one stream: a server-sent event stream or one JSON object at the end.
class engine_output {
public:
    /// @param resume_from  offset of the first token that the caller still lacks
    engine_output(const web::http::http_request& request, std::string stream_id, std::string prompt,
                  bool streamed, std::int64_t max_tokens, std::int64_t resume_from);

    /// Sends the header of a streamed answer.
    void start();
    void write_token(std::int64_t offset);
    void finish(std::int64_t cached_tokens);
    /// Ends the answer before it is complete, as for a cancelled stream.
    void abort();

    const std::string& prompt() const { return prompt_; }

private:
    web::json::value usage(std::int64_t cached_tokens) const;

    web::http::http_request request_;
    std::string stream_id_;
    std::string prompt_;
    bool streamed_;
    std::int64_t max_tokens_;
    std::int64_t resume_from_;
    std::string text_;
    concurrency::streams::producer_consumer_buffer<std::uint8_t> buffer_;
};

}  // namespace fuchsiaquay::stand_ins

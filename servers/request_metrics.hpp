#pragma once

#include <cstdint>
#include <string>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Records metrics of requests. Thread-safe.
class request_metrics {
public:
    request_metrics() = default;
    request_metrics(const request_metrics&) = delete;
    request_metrics& operator=(const request_metrics&) = delete;
    virtual ~request_metrics() = default;

    /// Time from arrival to the first token.
    /// @param level  rank level, 0 is the most urgent
    virtual void first_token(int level, std::int64_t prompt_tokens, duration waited) = 0;
    /// Time between two parts of a stream that carried `tokens` tokens; 1 if the number is not
    /// known.
    virtual void token_gap(duration gap, std::int64_t tokens) = 0;
    /// Time from arrival until a request was sent to its first upstream.
    virtual void placed(int level, duration waited) = 0;
    /// A request ended without an answer.
    virtual void refused(const std::string& code) = 0;
    virtual void retried(const std::string& failure) = 0;
    virtual void answered() = 0;
    /// An upstream's answer was taken for complete.
    /// @param end  what its end was told by: `framing` or `connection`
    virtual void answer_received(const std::string& end) = 0;
    /// An upstream's answer began and was not accepted.
    virtual void answer_rejected(const std::string& fault) = 0;
    /// The connection ended before the answer was complete.
    virtual void answer_cut(const std::string& cause) = 0;
};

}  // namespace fuchsiaquay

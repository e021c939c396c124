#pragma once

#include <cstdint>
#include <mutex>
#include <vector>

namespace fuchsiaquay {

/// Times of many streams, in seconds. Safe from any thread.
class stream_samples {
public:
    void add(double first_token, const std::vector<double>& gaps, std::int64_t tokens);
    void add_failure();

    /// Quantile of the first-token times, `part` from 0 to 1; 0 without samples.
    double first_token_time(double part) const;
    /// Quantile of the times between two pieces of one stream.
    double inter_token_time(double part) const;
    std::int64_t tokens() const;
    std::int64_t failures() const;

private:
    mutable std::mutex mutex_;
    std::vector<double> first_tokens_;
    std::vector<double> gaps_;
    std::int64_t tokens_ = 0;
    std::int64_t failures_ = 0;
};

}  // namespace fuchsiaquay

#pragma once

#include <cstdint>
#include <mutex>
#include <vector>

namespace fuchsiaquay {

/// Latency samples of many streams, in seconds. Thread safe.
class stream_samples {
public:
    void add(double first_token, const std::vector<double>& gaps, std::int64_t tokens);
    void add_failure();

    /// Quantile `fraction` (0 to 1) of the times to the first token; 0 without samples.
    double first_token_time(double fraction) const;
    /// Quantile `fraction` of the times between consecutive chunks of a stream.
    double inter_token_time(double fraction) const;
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

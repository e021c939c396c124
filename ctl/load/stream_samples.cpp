#include "ctl/load/stream_samples.hpp"

#include <algorithm>

namespace fuchsiaquay {

namespace {

double quantile(std::vector<double> values, double fraction) {
    if (values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    return values[index];
}

}  // namespace

void stream_samples::add(double first_token, const std::vector<double>& gaps, std::int64_t tokens) {
    const std::lock_guard<std::mutex> lock(mutex_);
    first_tokens_.push_back(first_token);
    gaps_.insert(gaps_.end(), gaps.begin(), gaps.end());
    tokens_ += tokens;
}

void stream_samples::add_failure() {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++failures_;
}

double stream_samples::first_token_time(double fraction) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return quantile(first_tokens_, fraction);
}

double stream_samples::inter_token_time(double fraction) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return quantile(gaps_, fraction);
}

std::int64_t stream_samples::tokens() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return tokens_;
}

std::int64_t stream_samples::failures() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return failures_;
}

}  // namespace fuchsiaquay

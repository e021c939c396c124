#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// Estimates the length of answers from the observed lengths for each customer and model.
class output_estimator {
public:
    /// Expected number of output tokens, limited to `max_tokens`.
    std::int64_t estimate(const customer_id& customer, const model_id& model,
                          std::int64_t max_tokens) const;
    void observe(const customer_id& customer, const model_id& model, std::int64_t output_tokens);
    /// Mean relative error of the estimates so far.
    double mean_relative_error() const;

private:
    using key = std::pair<customer_id, model_id>;

    struct statistics {
        double mean = 0.0;
        double count = 0.0;
    };

    std::map<key, statistics> statistics_;
    double error_sum_ = 0.0;
    std::int64_t error_count_ = 0;
};

}  // namespace fuchsiaquay

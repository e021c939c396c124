#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "servers/request_metrics.hpp"

namespace fuchsiaquay {

/// Request metrics in Boost.Histogram, exported in the Prometheus text format.
class histogram_metrics final : public request_metrics {
public:
    /// Names and values of gauges that are read at each scrape.
    using gauge_values = std::vector<std::pair<std::string, double>>;

    histogram_metrics();
    histogram_metrics(const histogram_metrics&) = delete;
    histogram_metrics& operator=(const histogram_metrics&) = delete;
    ~histogram_metrics() override;

    void first_token(int level, std::int64_t prompt_tokens, duration waited) override;
    void token_gap(duration gap, std::int64_t tokens) override;
    void placed(int level, duration waited) override;
    void refused(const std::string& code) override;
    void retried(const std::string& failure) override;
    void answered() override;
    void answer_received(const std::string& end) override;
    void answer_rejected(const std::string& fault) override;
    void answer_cut(const std::string& cause) override;

    /// Returns the response body of `/metrics`.
    /// @param current  gauges of the node; their names omit the prefix `fuchsiaquay_`
    std::string prometheus_text(const gauge_values& current) const;

private:
    class histograms;

    mutable std::mutex mutex_;
    std::unique_ptr<histograms> histograms_;
    std::map<std::string, std::uint64_t> refusals_;
    std::map<std::string, std::uint64_t> retries_;
    std::map<std::string, std::uint64_t> received_answers_;
    std::map<std::string, std::uint64_t> rejected_answers_;
    std::map<std::string, std::uint64_t> cuts_;
    std::uint64_t answered_ = 0;
};

}  // namespace fuchsiaquay

#include "drivers/metrics/histogram_metrics.hpp"

#include <boost/histogram.hpp>
#include <sstream>

namespace fuchsiaquay {

namespace bh = boost::histogram;

namespace {

/// Bucket bounds in seconds. 0.33 is the target of the first token, 0.027 that of the token gap.
const std::vector<double> first_token_bounds{0.0, 0.05, 0.1, 0.2, 0.33, 0.5, 1, 2, 5, 15, 60, 300};
const std::vector<double> waiting_bounds{0.0, 0.002, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 15, 60};
const std::vector<double> gap_bounds{0.0, 0.005, 0.01, 0.02, 0.027, 0.04, 0.08, 0.2, 1, 5};
/// Bounds of the prompt length classes in tokens.
const std::vector<double> length_bounds{0, 4'000, 32'000, 100'000, 400'000, 10'000'000};
const char* const length_class_names[] = {"4k", "32k", "100k", "400k", "more"};
constexpr int max_levels = 8;

using seconds_axis = bh::axis::variable<double>;
using level_axis = bh::axis::integer<int>;
using gap_histogram = decltype(bh::make_histogram(seconds_axis(gap_bounds)));
using waiting_histogram =
    decltype(bh::make_histogram(seconds_axis(waiting_bounds), level_axis(0, max_levels)));
using first_token_histogram = decltype(bh::make_histogram(
    seconds_axis(first_token_bounds), level_axis(0, max_levels), seconds_axis(length_bounds)));

/// Writes one histogram series in the Prometheus format: cumulative buckets and the count.
template <typename count_of>
void write_series(std::ostream& out, const std::string& name, const std::string& labels,
                  const std::vector<double>& bounds, const count_of& count_at) {
    const std::string comma = labels.empty() ? "" : labels + ",";
    double total = 0.0;
    const int buckets = static_cast<int>(bounds.size()) - 1;
    for (int i = 0; i < buckets; ++i) {
        total += count_at(i);
        out << name << "_bucket{" << comma << "le=\"" << bounds[static_cast<std::size_t>(i) + 1]
            << "\"} " << total << "\n";
    }
    total += count_at(buckets);
    out << name << "_bucket{" << comma << "le=\"+Inf\"} " << total << "\n";
    out << name << "_count" << (labels.empty() ? "" : "{" + labels + "}") << " " << total << "\n";
}

void write_counters(std::ostream& out, const std::string& name, const char* label,
                    const std::map<std::string, std::uint64_t>& counts) {
    out << "# TYPE " << name << " counter\n";
    for (const auto& [value, count] : counts) {
        out << name << "{" << label << "=\"" << value << "\"} " << count << "\n";
    }
}

}  // namespace

class histogram_metrics::histograms {
public:
    first_token_histogram first_token_ = bh::make_histogram(
        seconds_axis(first_token_bounds), level_axis(0, max_levels), seconds_axis(length_bounds));
    waiting_histogram waiting_ =
        bh::make_histogram(seconds_axis(waiting_bounds), level_axis(0, max_levels));
    gap_histogram gap_ = bh::make_histogram(seconds_axis(gap_bounds));
};

histogram_metrics::histogram_metrics() : histograms_(std::make_unique<histograms>()) {}

histogram_metrics::~histogram_metrics() = default;

void histogram_metrics::first_token(int level, std::int64_t prompt_tokens, duration waited) {
    const std::lock_guard<std::mutex> lock(mutex_);
    histograms_->first_token_(to_seconds(waited), level, static_cast<double>(prompt_tokens));
}

void histogram_metrics::token_gap(duration gap, std::int64_t tokens) {
    const std::lock_guard<std::mutex> lock(mutex_);
    histograms_->gap_(to_seconds(gap), bh::weight(static_cast<double>(tokens)));
}

void histogram_metrics::placed(int level, duration waited) {
    const std::lock_guard<std::mutex> lock(mutex_);
    histograms_->waiting_(to_seconds(waited), level);
}

void histogram_metrics::refused(const std::string& code) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++refusals_[code];
}

void histogram_metrics::retried(const std::string& failure) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++retries_[failure];
}

void histogram_metrics::answered() {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++answered_;
}

void histogram_metrics::answer_received(const std::string& end) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++received_answers_[end];
}

void histogram_metrics::answer_rejected(const std::string& fault) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++rejected_answers_[fault];
}

void histogram_metrics::answer_cut(const std::string& cause) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++cuts_[cause];
}

std::string histogram_metrics::prometheus_text(const gauge_values& current) const {
    std::ostringstream out;
    const std::lock_guard<std::mutex> lock(mutex_);
    out << "# TYPE fuchsiaquay_first_token_seconds histogram\n";
    const int lengths = static_cast<int>(length_bounds.size()) - 1;
    for (int level = 0; level < max_levels; ++level) {
        for (int length = 0; length < lengths; ++length) {
            const std::string labels = "level=\"" + std::to_string(level) + "\",prompt=\"" +
                                       length_class_names[length] + "\"";
            write_series(out, "fuchsiaquay_first_token_seconds", labels, first_token_bounds,
                         [&](int i) { return histograms_->first_token_.at(i, level, length); });
        }
    }
    out << "# TYPE fuchsiaquay_waiting_seconds histogram\n";
    for (int level = 0; level < max_levels; ++level) {
        write_series(out, "fuchsiaquay_waiting_seconds", "level=\"" + std::to_string(level) + "\"",
                     waiting_bounds, [&](int i) { return histograms_->waiting_.at(i, level); });
    }
    out << "# TYPE fuchsiaquay_token_gap_seconds histogram\n";
    write_series(out, "fuchsiaquay_token_gap_seconds", "", gap_bounds,
                 [&](int i) { return static_cast<double>(histograms_->gap_.at(i)); });
    write_counters(out, "fuchsiaquay_refusals_total", "code", refusals_);
    write_counters(out, "fuchsiaquay_retries_total", "failure", retries_);
    write_counters(out, "fuchsiaquay_upstream_answers_total", "end", received_answers_);
    write_counters(out, "fuchsiaquay_upstream_answers_rejected_total", "fault", rejected_answers_);
    write_counters(out, "fuchsiaquay_answers_cut_total", "cause", cuts_);
    out << "# TYPE fuchsiaquay_answers_total counter\nfuchsiaquay_answers_total " << answered_
        << "\n";
    for (const auto& [name, value] : current) {
        out << "fuchsiaquay_" << name << " " << value << "\n";
    }
    return out.str();
}

}  // namespace fuchsiaquay

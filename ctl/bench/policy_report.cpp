#include "ctl/bench/policy_report.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <ostream>
#include <sstream>

#include "ctl/bench/policy_metric.hpp"

namespace fuchsiaquay {
namespace {

constexpr int label_width = 66;
constexpr int column_width = 27;
constexpr double panel_width = 260.0;
constexpr double panel_height = 150.0;
constexpr double bar_area_height = 100.0;
constexpr std::size_t panels_per_row = 4;

std::string number_text(double value) {
    std::ostringstream text;
    if (std::isinf(value)) {
        text << "inf";
    } else {
        text << std::fixed << std::setprecision(std::abs(value) >= 100.0 ? 0 : 3) << value;
    }
    return text.str();
}

std::string cell_text(const policy_result& result, std::size_t measure) {
    const policy_metric& row = policy_metrics()[measure];
    const std::string mark = row.meets_target(result.median(measure)) ? " ok" : " NO";
    return number_text(result.median(measure)) + " [" + number_text(result.minimum(measure)) +
           ".." + number_text(result.maximum(measure)) + "]" + mark;
}

void write_panel(std::ostream& out, const std::vector<const policy_result*>& results,
                 std::size_t measure, double x, double y) {
    const policy_metric& row = policy_metrics()[measure];
    double top = row.target;
    for (const policy_result* result : results) {
        const double maximum = result->maximum(measure);
        top = std::isinf(maximum) ? top : std::max(top, maximum);
    }
    top = std::min(top > 0.0 ? top * 1.1 : 1.0, std::max(row.target, 1.0) * 4.0);
    const auto height_of = [top](double value) {
        return std::clamp(value / top, 0.0, 1.0) * bar_area_height;
    };
    out << "<text x='" << x << "' y='" << y + 12 << "' font-size='10'>" << results.front()->profile
        << ": " << row.name << "</text>\n";
    const double base = y + 20 + bar_area_height;
    const double step = (panel_width - 20.0) / static_cast<double>(results.size());
    for (std::size_t i = 0; i < results.size(); ++i) {
        const double left = x + static_cast<double>(i) * step;
        const double height = height_of(results[i]->median(measure));
        const double middle = left + step * 0.4;
        out << "<rect x='" << left << "' y='" << base - height << "' width='" << step * 0.8
            << "' height='" << height << "' fill='" << (i == 0 ? "#b0307a" : "#9aa7b5") << "'/>\n"
            << "<line x1='" << middle << "' x2='" << middle << "' y1='"
            << base - height_of(results[i]->minimum(measure)) << "' y2='"
            << base - height_of(results[i]->maximum(measure)) << "' stroke='black'/>\n"
            << "<text x='" << left << "' y='" << base + 10 << "' font-size='6'>"
            << results[i]->variant << "</text>\n";
    }
    const double target = base - height_of(row.target);
    out << "<line x1='" << x << "' x2='" << x + panel_width - 20 << "' y1='" << target << "' y2='"
        << target << "' stroke='green' stroke-dasharray='4'/>\n";
}

/// Results by profile, in order of appearance.
std::vector<std::vector<const policy_result*>> group_by_profile(
    const std::vector<policy_result>& results) {
    std::vector<std::vector<const policy_result*>> groups;
    for (const policy_result& result : results) {
        if (groups.empty() || groups.back().front()->profile != result.profile) {
            groups.emplace_back();
        }
        groups.back().push_back(&result);
    }
    return groups;
}

}  // namespace

void write_policy_table(std::ostream& out, const std::vector<policy_result>& results) {
    const std::vector<policy_metric>& rows = policy_metrics();
    for (const auto& group : group_by_profile(results)) {
        out << "\n" << std::left << std::setw(label_width) << group.front()->profile;
        for (const policy_result* result : group) {
            out << std::setw(column_width) << result->variant;
        }
        out << "\n";
        for (std::size_t i = 0; i < rows.size(); ++i) {
            std::ostringstream label;
            label << rows[i].description << (rows[i].is_upper_limit ? " <= " : " >= ")
                  << rows[i].target;
            out << std::setw(label_width) << label.str();
            for (const policy_result* result : group) {
                out << std::setw(column_width) << cell_text(*result, i);
            }
            out << "\n";
        }
    }
}

void write_policy_csv(std::ostream& out, const std::vector<policy_result>& results) {
    out << "profile,variant,seed,measure,value,target\n";
    const std::vector<policy_metric>& rows = policy_metrics();
    for (const policy_result& result : results) {
        for (std::size_t seed = 0; seed < result.seeds.size(); ++seed) {
            for (std::size_t i = 0; i < rows.size(); ++i) {
                out << result.profile << "," << result.variant << "," << result.seeds[seed] << ","
                    << rows[i].name << "," << result.values[seed][i] << "," << rows[i].target
                    << "\n";
            }
        }
    }
}

void write_policy_svg(std::ostream& out, const std::vector<policy_result>& results) {
    const auto groups = group_by_profile(results);
    const std::size_t measures = policy_metrics().size();
    const std::size_t rows_per_group = (measures + panels_per_row - 1) / panels_per_row;
    out << "<svg xmlns='http://www.w3.org/2000/svg' font-family='sans-serif' width='"
        << panel_width * static_cast<double>(panels_per_row) << "' height='"
        << panel_height * static_cast<double>(rows_per_group * groups.size()) << "'>\n"
        << "<rect width='100%' height='100%' fill='white'/>\n";
    for (std::size_t g = 0; g < groups.size(); ++g) {
        for (std::size_t i = 0; i < measures; ++i) {
            const std::size_t row = g * rows_per_group + i / panels_per_row;
            write_panel(out, groups[g], i,
                        10 + panel_width * static_cast<double>(i % panels_per_row),
                        panel_height * static_cast<double>(row));
        }
    }
    out << "</svg>\n";
}

}  // namespace fuchsiaquay

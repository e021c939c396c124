#include "tests/scenarios/runner/timeline.hpp"

#include "tests/stand_ins/support/text.hpp"

namespace fuchsiaquay::scenarios {

timeline::timeline() : start_ms_(stand_ins::wall_clock_ms()) {}

void timeline::note(const std::string& text) {
    const std::int64_t now_ms = stand_ins::wall_clock_ms();
    const std::lock_guard<std::mutex> lock(mutex_);
    lines_.push_back(std::to_string(now_ms - start_ms_) + " ms (" + std::to_string(now_ms) +
                     "): " + text);
}

void timeline::print(std::ostream& out) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const std::string& line : lines_) {
        out << "  " << line << '\n';
    }
}

}  // namespace fuchsiaquay::scenarios

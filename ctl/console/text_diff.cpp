#include "ctl/console/text_diff.hpp"

#include <algorithm>
#include <sstream>
#include <vector>

namespace fuchsiaquay {
namespace {

/// Unchanged lines shown around a difference.
constexpr std::size_t context_lines = 2;

std::vector<std::string> lines_of(const std::string& text) {
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}

/// Entry [i][j] is the length of the longest common subsequence of `before` from line i on and
/// `after` from line j on.
std::vector<std::vector<std::size_t>> common_suffix_lengths(const std::vector<std::string>& before,
                                                            const std::vector<std::string>& after) {
    std::vector<std::vector<std::size_t>> length(before.size() + 1,
                                                 std::vector<std::size_t>(after.size() + 1, 0));
    for (std::size_t i = before.size(); i-- > 0;) {
        for (std::size_t j = after.size(); j-- > 0;) {
            length[i][j] = before[i] == after[j] ? length[i + 1][j + 1] + 1
                                                 : std::max(length[i + 1][j], length[i][j + 1]);
        }
    }
    return length;
}

std::vector<std::string> marked_lines(const std::vector<std::string>& before,
                                      const std::vector<std::string>& after) {
    const auto length = common_suffix_lengths(before, after);
    std::vector<std::string> marked;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < before.size() || j < after.size()) {
        if (i < before.size() && j < after.size() && before[i] == after[j]) {
            marked.push_back("  " + before[i]);
            ++i;
            ++j;
        } else if (j == after.size() ||
                   (i < before.size() && length[i + 1][j] >= length[i][j + 1])) {
            marked.push_back("- " + before[i++]);
        } else {
            marked.push_back("+ " + after[j++]);
        }
    }
    return marked;
}

}  // namespace

std::string text_diff(const std::string& before, const std::string& after) {
    if (before == after) {
        return "";
    }
    const std::vector<std::string> marked = marked_lines(lines_of(before), lines_of(after));
    std::string shown;
    for (std::size_t i = 0; i < marked.size(); ++i) {
        const std::size_t first = i < context_lines ? 0 : i - context_lines;
        const std::size_t last = std::min(marked.size(), i + context_lines + 1);
        const bool near_change =
            std::any_of(marked.begin() + static_cast<std::ptrdiff_t>(first),
                        marked.begin() + static_cast<std::ptrdiff_t>(last),
                        [](const std::string& line) { return line.front() != ' '; });
        if (near_change) {
            shown += marked[i] + "\n";
        }
    }
    return shown;
}

}  // namespace fuchsiaquay

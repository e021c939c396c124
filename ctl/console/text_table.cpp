#include "ctl/console/text_table.hpp"

#include <algorithm>
#include <ostream>

namespace fuchsiaquay {

void text_table::print(std::ostream& out) const {
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (const auto& row : rows_) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (const auto& row : rows_) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << "\n";
    }
}

}  // namespace fuchsiaquay

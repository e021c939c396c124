#pragma once

#include <string>
#include <vector>

#include "servers/decision_log.hpp"

namespace fuchsiaquay::testing {

/// Log that records its lines, so that a test can check them.
class recording_log final : public decision_log {
public:
    void write(level, std::string_view event, std::initializer_list<field> fields) override {
        std::string line(event);
        for (const field& item : fields) {
            line += " " + std::string(item.name) + "=" + item.value;
        }
        lines.push_back(line);
    }

    int count(const std::string& start) const {
        int found = 0;
        for (const std::string& line : lines) {
            found += line.compare(0, start.size(), start) == 0 ? 1 : 0;
        }
        return found;
    }

    std::vector<std::string> lines;
};

}  // namespace fuchsiaquay::testing
